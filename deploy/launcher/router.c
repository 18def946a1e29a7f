// The router's program: a Python interpreter that starts with SIGHUP blocked.
//
// The platform sends SIGHUP when the settings change, also to a process that
// has just started. The interpreter needs some tens of milliseconds until it
// runs the first line of Python, and until then the default action of the
// signal ends the process. This program blocks the signal first and loads the
// interpreter after that. A blocked signal stays pending; the router unblocks
// it once its handler is installed.
//
// The interpreter's library is loaded with dlopen rather than linked, because
// linked libraries are loaded before main.

#include <dlfcn.h>
#include <signal.h>
#include <stdio.h>

#if !defined(PYTHON_LIBRARY) || !defined(PYTHON_PROGRAM)
#error "define the paths of Python's shared library and of its program"
#endif

// Same code as the router's for settings that cannot be used.
static const int kExitUnusable = 2;

typedef int (*RunPython)(int argc, char** argv);

int main(int argc, char** argv) {
  sigset_t reload;
  sigemptyset(&reload);
  sigaddset(&reload, SIGHUP);
  sigprocmask(SIG_BLOCK, &reload, NULL);

  // Extension modules find the symbols of the interpreter only if its library
  // is global.
  void* library = dlopen(PYTHON_LIBRARY, RTLD_NOW | RTLD_GLOBAL);
  if (library == NULL) {
    fprintf(stderr, "daisypick-router: %s\n", dlerror());
    return kExitUnusable;
  }
  RunPython run_python = (RunPython)dlsym(library, "Py_BytesMain");
  if (run_python == NULL) {
    fprintf(stderr, "daisypick-router: %s\n", dlerror());
    return kExitUnusable;
  }
  if (argc > 1) {
    fprintf(stderr, "daisypick-router: takes no arguments, got %s\n", argv[1]);
    return kExitUnusable;
  }
  // Under its program's name the interpreter finds its environment.
  char* arguments[] = {PYTHON_PROGRAM, "-m", "daisypick_router", NULL};
  return run_python(3, arguments);
}

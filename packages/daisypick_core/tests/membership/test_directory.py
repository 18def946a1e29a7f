import random

from daisypick_core.membership import directory

OWN = directory.Member("10.0.0.1:80", directory.AGENT, "sofia", "desk")
LISTED = directory.Member("10.0.0.2:80", directory.AGENT, "sofia", "desk")
ROUTER = directory.Member("10.0.0.3:80", directory.ROUTER, "varna")


def make_directory():
    subject = directory.Directory(own=OWN)
    subject.set_listed([OWN, LISTED])
    return subject


def test_failed_member_is_live_again_after_contact_or_failure_expiry():
    # A peer does not respond during a partition and must not be chosen until
    # the next contact, or until the failure expires.
    subject = make_directory()
    subject.record_failure(LISTED.address, 10.0)
    assert subject.members(11.0) == []
    subject.record_contact(LISTED.address, 12.0)
    assert subject.members(12.0) == [LISTED]
    subject.record_failure(LISTED.address, 13.0)
    assert subject.members(42.9) == []
    assert subject.members(43.0) == [LISTED]


def test_member_known_by_contact_expires_without_further_contact():
    subject = make_directory()
    subject.record_member(ROUTER, 0.0)
    assert subject.live(directory.ROUTER, "varna", 89.0) == [ROUTER.address]
    assert subject.live(directory.ROUTER, "varna", 90.0) == []
    subject.forget_old(91.0)
    assert subject.age(ROUTER.address, 91.0) is None
    assert subject.members(91.0) == [LISTED]


def test_gossip_never_reduces_the_age_of_a_member():
    # Peers exchange members with their ages. If each exchange reset the age, a
    # dead member would stay live in gossip for ever.
    first, second = make_directory(), directory.Directory(own=LISTED)
    first.record_member(ROUTER, 0.0)
    rng = random.Random(1)
    for now in range(1, 120):
        for sender, receiver in ((first, second), (second, first)):
            for gossip_entry in sender.sample(rng, 4, now):
                receiver.record_member(
                    gossip_entry.member, now, age=gossip_entry.age
                )
    assert ROUTER not in first.members(120.0) + second.members(120.0)


def test_members_on_leaving_hosts_are_not_live():
    subject = make_directory()
    subject.set_leaving(["10.0.0.2"])
    assert subject.live(directory.AGENT, "sofia", 0.0) == [OWN.address]


def test_live_agents_are_limited_to_the_service():
    subject = make_directory()
    other = directory.Member("10.0.0.4:80", directory.AGENT, "sofia", "chat")
    subject.set_listed([OWN, LISTED, other])
    both = [OWN.address, LISTED.address]
    assert subject.live_agents("desk", "sofia", 0.0) == both
    # Members from peers do not carry a service.
    subject.record_member(LISTED._replace(service=""), 1.0)
    assert subject.live_agents("desk", "sofia", 1.0) == both
    subject.record_failure(LISTED.address, 2.0)
    assert subject.live_agents("desk", "sofia", 2.0) == [OWN.address]
    assert subject.live_agents("chat", "varna", 2.0) == []

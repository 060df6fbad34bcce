package figdeck.command.serving

import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.Moment
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.model.serving.PoolMember
import figdeck.model.serving.PoolName
import figdeck.model.serving.UpstreamStart
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val start = Moment(0, 0)

private fun member(id: String, startedAt: Long? = null) = PoolMember(
    Upstream(UpstreamId(id), Address("10.0.0.1", 80), DataCentre("a"), UpstreamKind.ENGINE, 8, false, startedAt),
    PoolName("p"),
    isLeaving = false,
)

private fun PoolMembers.isLeaving(id: String): Boolean? = members[UpstreamId(id)]?.isLeaving

private val checkInterval = 100.milliseconds

/** This host runs until [end] and gets no answer of the store. */
private fun PoolMembers.unanswered(end: Moment): PoolMembers =
    generateSequence((silence.countedUntil ?: start) + checkInterval) { it + checkInterval }
        .takeWhile { it <= end }
        .fold(this) { state, now -> recordRunning(state, now) }

private fun PoolMembers.ids() = members.keys.map { it.value }.sorted()

class PoolMembersSpec : DescribeSpec({
    val both = replaceMembers(emptyPoolMembers, listOf(member("i-1"), member("i-2")), start)

    describe("an entry that is removed while the store is available") {
        it("is dropped immediately") {
            val later = start + 1.seconds
            removeMember(recordStoreResponse(both, later), UpstreamId("i-1"), later).ids() shouldBe listOf("i-2")
        }
    }

    // Guards against upstreams that are kept, although they have left, by a host that was frozen itself.
    describe("an entry that is removed while this host does not run, or soon after") {
        val wokeAt = start + 4.seconds

        it("is dropped by the first answer that doesn't list it") {
            replaceMembers(both, listOf(member("i-2")), wokeAt).ids() shouldBe listOf("i-2")
        }

        it("is dropped by a later answer") {
            val later = wokeAt + 1.seconds
            val awake = recordStoreResponse(recordStoreResponse(both, wokeAt), later)
            removeMember(awake, UpstreamId("i-1"), later).ids() shouldBe listOf("i-2")
        }

        it("is dropped although the freeze interrupted a wait for changes, and the next wait was long") {
            val awake = recordStoreFailure(both.unanswered(start + 2.seconds), start + 6.seconds)
            val waited = awake.unanswered(start + 8.seconds)
            replaceMembers(waited, listOf(member("i-2")), start + 8.seconds).ids() shouldBe listOf("i-2")
        }
    }

    // Guards against work for an upstream that has said in an answer that it is leaving while its entry says "ready".
    describe("an upstream that has said that it is leaving") {
        val first = UpstreamId("i-1")
        val announced = announceLeaving(both, UpstreamStart(first, null), start)

        it("is leaving, and the others are not") {
            announced.isLeaving("i-1") shouldBe true
            announced.isLeaving("i-2") shouldBe false
        }

        it("is still leaving after later entries, and after its entry was lost and came back") {
            putMember(announced, member("i-1")).isLeaving("i-1") shouldBe true
            putMember(removeMember(announced, first, start), member("i-1")).isLeaving("i-1") shouldBe true
            replaceMembers(announced, listOf(member("i-1")), start).isLeaving("i-1") shouldBe true
        }

        it("is ready again once it has started again under its id") {
            val started = announceLeaving(putMember(both, member("i-1", startedAt = 5)), UpstreamStart(first, 5), start)
            putMember(started, member("i-1", startedAt = 5)).isLeaving("i-1") shouldBe true
            val restarted = putMember(started, member("i-1", startedAt = 6))
            restarted.isLeaving("i-1") shouldBe false
            putMember(restarted, member("i-1", startedAt = 6)).isLeaving("i-1") shouldBe false
        }

        it("is remembered for two minutes") {
            val later = recordStoreResponse(announced, start + 119.seconds)
            putMember(later, member("i-1")).isLeaving("i-1") shouldBe true
            val end = recordStoreResponse(announced, start + 120.seconds)
            putMember(end, member("i-1")).isLeaving("i-1") shouldBe false
        }

        // Guards against sound upstreams that stay unused because an earlier start under their id has left.
        it("is ready again under its id although it said so without an entry") {
            val gone = removeMember(putMember(both, member("i-1", startedAt = 5)), first, start)
            val said = announceLeaving(gone, UpstreamStart(first, 5), start)
            putMember(said, member("i-1", startedAt = 6)).isLeaving("i-1") shouldBe false
            putMember(said, member("i-1", startedAt = 5)).isLeaving("i-1") shouldBe true
        }

        it("is ready if it has started again before the last answers of its earlier start") {
            val startedAgain = putMember(both, member("i-1", startedAt = 6))
            announceLeaving(startedAgain, UpstreamStart(first, 5), start).isLeaving("i-1") shouldBe false
        }

        it("is still leaving if an earlier start says so too") {
            val later = UpstreamStart(first, 6)
            val said = announceLeaving(putMember(both, member("i-1", startedAt = 6)), later, start)
            val alsoSaid = announceLeaving(said, UpstreamStart(first, 5), start)
            putMember(alsoSaid, member("i-1", startedAt = 6)).isLeaving("i-1") shouldBe true
        }

        // Guards against requests to a later start that leaves before this host has read its entry.
        it("is leaving when its entry is read if its later start has said so before") {
            val known = putMember(both, member("i-1", startedAt = 5))
            val said = announceLeaving(known, UpstreamStart(first, 6), start)
            said.isLeaving("i-1") shouldBe false
            putMember(said, member("i-1", startedAt = 6)).isLeaving("i-1") shouldBe true
            putMember(said, member("i-1", startedAt = 7)).isLeaving("i-1") shouldBe false
        }

        it("is known by the start of its entry, or without an entry by the one that said so last") {
            val said = announceLeaving(both, UpstreamStart(first, 4), start)
            val saidLater = announceLeaving(said, UpstreamStart(first, 5), start + 1.seconds)
            saidLater.latestStart(first) shouldBe UpstreamStart(first, null)
            removeImmediately(saidLater, first).latestStart(first) shouldBe UpstreamStart(first, 5)
            removeImmediately(both, first).latestStart(first) shouldBe null
        }
    }

    describe("upstreams learned from another host") {
        val unconfirmed = adoptUnconfirmed(emptyPoolMembers, listOf(member("i-1"), member("i-2")), start)

        it("are usable immediately and during a store outage") {
            unconfirmed.ids() shouldBe listOf("i-1", "i-2")
        }

        it("are kept while the store has not answered at all") {
            unconfirmed.unanswered(start + 10.seconds).ids() shouldBe listOf("i-1", "i-2")
        }

        it("are dropped if the store does not list them within the grace period") {
            val listed = replaceMembers(unconfirmed, listOf(member("i-2")), start + 1.seconds)
            listed.ids() shouldBe listOf("i-1", "i-2")
            recordStoreResponse(listed, start + 3.seconds).ids() shouldBe listOf("i-2")
        }
    }

    describe("an entry that expired during a store outage") {
        val recoveredAt = start + 10.seconds
        val missing = replaceMembers(both.unanswered(recoveredAt), listOf(member("i-2")), recoveredAt)

        it("stays in use during the grace period") {
            missing.ids() shouldBe listOf("i-1", "i-2")
            recordStoreResponse(missing, recoveredAt + 2.seconds).ids() shouldBe listOf("i-1", "i-2")
        }

        it("is dropped if it does not reappear") {
            recordStoreResponse(missing, recoveredAt + 3.seconds).ids() shouldBe listOf("i-2")
        }

        it("is dropped in time without another answer, but not while calls fail") {
            val end = recoveredAt + 2_300.milliseconds
            missing.unanswered(end).ids() shouldBe listOf("i-2")
            recordStoreFailure(missing, recoveredAt + 1.seconds).unanswered(end).ids() shouldBe listOf("i-1", "i-2")
        }

        it("stays in use if this host was also frozen after its calls had failed") {
            val failed = recordStoreFailure(both.unanswered(start + 1.seconds), start + 1.seconds)
            val awake = recordRunning(failed.unanswered(start + 2.seconds), start + 6.seconds)
            val answered = start + 8.seconds
            replaceMembers(awake.unanswered(answered), listOf(member("i-2")), answered).ids() shouldBe
                listOf("i-1", "i-2")
        }

        it("is kept if it reappears") {
            recordStoreResponse(putMember(missing, member("i-1")), recoveredAt + 3.seconds).ids() shouldBe
                listOf("i-1", "i-2")
        }
    }
})

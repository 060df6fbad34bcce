package figdeck.command.serving

import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.Moment
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.model.serving.PoolMember
import figdeck.model.serving.PoolName
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

private val start = Moment(0, 0)

private fun member(id: String, startedAt: Long? = null) = PoolMember(
    Upstream(UpstreamId(id), Address("10.0.0.1", 80), DataCentre("a"), UpstreamKind.ENGINE, 8, false),
    PoolName("p"),
    isLeaving = false,
    startedAt,
)

private fun PoolMembers.isLeaving(id: String): Boolean? = members[UpstreamId(id)]?.isLeaving

private fun PoolMembers.ids() = members.keys.map { it.value }.sorted()

class PoolMembersSpec : DescribeSpec({
    val both = replaceMembers(emptyPoolMembers, listOf(member("i-1"), member("i-2")), start)

    describe("an entry that is removed while the store is available") {
        it("is dropped immediately") {
            val later = start + 1.seconds
            removeMember(recordStoreResponse(both, later), UpstreamId("i-1"), later).ids() shouldBe listOf("i-2")
        }
    }

    // Guards against work for an upstream that has said in an answer that it is leaving while its entry says "ready".
    describe("an upstream that has said that it is leaving") {
        val first = UpstreamId("i-1")
        val announced = announceLeaving(both, first, start)

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
            val started = announceLeaving(putMember(both, member("i-1", startedAt = 5)), first, start)
            putMember(started, member("i-1", startedAt = 5)).isLeaving("i-1") shouldBe true
            val restarted = putMember(started, member("i-1", startedAt = 6))
            restarted.isLeaving("i-1") shouldBe false
            putMember(restarted, member("i-1", startedAt = 6)).isLeaving("i-1") shouldBe false
        }

        it("is remembered for two minutes if it names no start") {
            val later = recordStoreResponse(announced, start + 119.seconds)
            putMember(later, member("i-1")).isLeaving("i-1") shouldBe true
            val end = recordStoreResponse(announced, start + 120.seconds)
            putMember(end, member("i-1")).isLeaving("i-1") shouldBe false
        }
    }

    describe("upstreams learned from another host") {
        val unconfirmed = adoptUnconfirmed(emptyPoolMembers, listOf(member("i-1"), member("i-2")), start)

        it("are usable immediately and during a store outage") {
            unconfirmed.ids() shouldBe listOf("i-1", "i-2")
        }

        it("are dropped if the store does not list them within the grace period") {
            val listed = replaceMembers(unconfirmed, listOf(member("i-2")), start + 1.seconds)
            listed.ids() shouldBe listOf("i-1", "i-2")
            recordStoreResponse(listed, start + 3.seconds).ids() shouldBe listOf("i-2")
        }
    }

    describe("an entry that expired during a store outage") {
        val recoveredAt = start + 10.seconds
        val missing = replaceMembers(both, listOf(member("i-2")), recoveredAt)

        it("stays in use during the grace period") {
            missing.ids() shouldBe listOf("i-1", "i-2")
            recordStoreResponse(missing, recoveredAt + 2.seconds).ids() shouldBe listOf("i-1", "i-2")
        }

        it("is dropped if it does not reappear") {
            recordStoreResponse(missing, recoveredAt + 3.seconds).ids() shouldBe listOf("i-2")
        }

        it("is kept if it reappears") {
            recordStoreResponse(putMember(missing, member("i-1")), recoveredAt + 3.seconds).ids() shouldBe
                listOf("i-1", "i-2")
        }
    }
})

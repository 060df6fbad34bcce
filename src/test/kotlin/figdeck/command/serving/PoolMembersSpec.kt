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

private fun member(id: String) = PoolMember(
    Upstream(UpstreamId(id), Address("10.0.0.1", 80), DataCentre("a"), UpstreamKind.ENGINE, 8, false),
    PoolName("p"),
    isLeaving = false,
)

private fun PoolMembers.ids() = members.keys.map { it.value }.sorted()

class PoolMembersSpec : DescribeSpec({
    val both = replaceMembers(emptyPoolMembers, listOf(member("i-1"), member("i-2")), start)

    describe("an entry that is removed while the store is available") {
        it("is dropped immediately") {
            val later = start + 1.seconds
            removeMember(recordStoreResponse(both, later), UpstreamId("i-1"), later).ids() shouldBe listOf("i-2")
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

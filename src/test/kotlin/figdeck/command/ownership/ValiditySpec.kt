package figdeck.command.ownership

import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Moment
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf

private val self = HostIdentity(HostId("host-1"), Address("127.0.0.1", 1), DataCentre("centre-a"))

private fun at(millis: Long) = Moment(millis * 1_000_000, millis)

private fun leaseOf(renewal: Long, guardian: String) =
    HostLease(self.host, self.address, self.dataCentre, 7, renewal, listOf(HostId(guardian)), false)

private fun promised(state: OwnershipState, guardian: String, millis: Long) =
    confirmPromise(state, HostId(guardian), 7, at(millis))

class ValiditySpec : DescribeSpec({
    describe("a lease of 4 s from a renewal sent at 0") {
        val held = ownershipOf(self, LeaseTimes()).copy(held = HeldLease(leaseOf(1, "host-2"), 1, at(0)))

        it("holds before 4 s and not at 4 s") {
            listOf(3_999L, 4_000L).map { held.isLeased(at(it)) } shouldBe listOf(true, false)
        }
        it("is extended by its guardian's promise, counted from the question") {
            val extended = promised(held, "host-2", 3_000)
            listOf(6_999L, 7_000L).map { extended.isLeased(at(it)) } shouldBe listOf(true, false)
        }
        it("needs the guardians of an unsettled renewal as well, which may stand in the table") {
            val unsettled = held.copy(attempts = persistentListOf(RenewalPlan(leaseOf(2, "host-3"), 1, at(2_000))))
            val one = promised(unsettled, "host-2", 3_000)
            val both = promised(one, "host-3", 3_000)
            listOf(one, both).map { it.isLeased(at(5_000)) } shouldBe listOf(false, true)
        }
        it("is extended for 15 minutes at the most") {
            val late = promised(held, "host-2", 899_000)
            listOf(899_999L, 900_000L).map { late.isLeased(at(it)) } shouldBe listOf(true, false)
        }
    }
})

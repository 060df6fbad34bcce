package figdeck.command.ownership

import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Moment
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val self = HostIdentity(HostId("host-1"), Address("127.0.0.1", 1), DataCentre("centre-a"))

private val times = LeaseTimes(lease = 4.seconds, margin = 500.milliseconds)

private fun at(millis: Long) = Moment(millis * 1_000_000, millis)

private fun leaseOf(renewal: Long, guardian: String) =
    HostLease(self.host, self.address, self.dataCentre, 7, renewal, listOf(HostId(guardian)), false)

private fun promised(state: OwnershipState, guardian: String, millis: Long) =
    confirmPromise(state, HostId(guardian), 7, at(millis))

class ValiditySpec : DescribeSpec({
    describe("another host's lease of 4 s and a margin of 500 ms, first seen at 1 s") {
        val other = self.copy(host = HostId("host-2"))
        val row = HostRow(HostLease(other.host, other.address, other.dataCentre, 8, 1, emptyList(), false), 1)
        val state = observeHosts(initialOwnership(self, times), listOf(row), at(1_000)).state

        it("expires at 5.5 s, and afterwards no longer counts as the next expiry") {
            listOf(2_000L, 5_499L, 5_500L).map { state.timeToNextExpiry(at(it)) } shouldBe
                listOf(3_500.milliseconds, 1.milliseconds, null)
            listOf(5_499L, 5_500L).map { planExpiries(state, at(it)).result.size } shouldBe listOf(0, 1)
        }
        it("expires later after a promise") {
            val promised = promise(state, other.host, 8, at(4_000)).state
            promised.timeToNextExpiry(at(5_500)) shouldBe 3_000.milliseconds
        }
    }

    describe("a lease of 4 s from a renewal sent at 0") {
        val held = initialOwnership(self, times).copy(held = HeldLease(leaseOf(1, "host-2"), 1, at(0)))

        it("is valid before 4 s and not at 4 s") {
            listOf(3_999L, 4_000L).map { held.isLeased(at(it)) } shouldBe listOf(true, false)
        }
        it("is extended by its guardian's promise, from the time the request was sent") {
            val extended = promised(held, "host-2", 3_000)
            listOf(6_999L, 7_000L).map { extended.isLeased(at(it)) } shouldBe listOf(true, false)
        }
        it("also needs the promises of the guardians of an unsettled renewal, which may have taken effect") {
            val unsettled = held.copy(attempts = persistentListOf(RenewalPlan(leaseOf(2, "host-3"), 1, at(2_000))))
            val one = promised(unsettled, "host-2", 3_000)
            val both = promised(one, "host-3", 3_000)
            listOf(one, both).map { it.isLeased(at(5_000)) } shouldBe listOf(false, true)
        }
        it("is extended to at most 15 minutes") {
            val late = promised(held, "host-2", 899_000)
            listOf(899_999L, 900_000L).map { late.isLeased(at(it)) } shouldBe listOf(true, false)
        }
    }
})

package figdeck.command.ownership

import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Moment
import kotlin.random.Random

/** One process of a simulated host: its state and its clock, which starts at a random time. */
class ModelHost(
    val id: HostId,
    dataCentre: String,
    private val random: Random,
    times: LeaseTimes,
) {
    private val offset = random.nextLong(1_000_000)
    var state = initialOwnership(HostIdentity(id, Address("127.0.0.1", 1), DataCentre(dataCentre)), times)
    var pausedUntil = 0L
    var stopped = false

    fun now(millis: Long): Moment = Moment((offset + millis) * 1_000_000, millis)

    fun renewal(millis: Long): RenewalPlan? {
        val step = planRenewal(state, random.nextLong(1, Long.MAX_VALUE), now(millis))
        state = step.state
        return step.result
    }

    fun expiries(millis: Long): List<ExpiryPlan> {
        val step = planExpiries(state, now(millis))
        state = step.state
        return step.result
    }

    fun release(): ShardPlan? {
        val step = planRelease(state, 1024)
        state = step.state
        return step.result
    }

    fun promiseTo(owner: HostId, incarnation: Long, millis: Long): Boolean {
        val step = promise(state, owner, incarnation, now(millis))
        state = step.state
        return step.result
    }
}

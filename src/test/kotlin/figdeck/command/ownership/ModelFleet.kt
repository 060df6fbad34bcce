package figdeck.command.ownership

import figdeck.model.HostId
import figdeck.model.Shard
import java.util.PriorityQueue
import kotlin.random.Random

private const val ROUND_MILLIS = 1_000L
private const val SHARD_SCAN_ROUNDS = 10L
private const val CHECK_MILLIS = 50L
private const val CALL_DEADLINE_MILLIS = 2_000L
private const val MAX_LATE_MILLIS = 7_000L

/** The faults of a run: chances per call, chances per second and host, and outages of the table in milliseconds. */
data class ModelFaults(
    val lostCallChance: Double = 0.05,
    val lateCallChance: Double = 0.1,
    val pauseChance: Double = 0.02,
    val restartChance: Double = 0.005,
    val outages: List<LongRange> = emptyList(),
)

/** A simulation of hosts that run the ownership decisions against a table, over late, lost and reordered calls. */
class ModelFleet(
    private val random: Random,
    count: Int,
    private val times: LeaseTimes = LeaseTimes(),
    var faults: ModelFaults = ModelFaults(),
) {
    private data class Event(val at: Long, val order: Long, val action: () -> Unit)

    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private val table = ModelTable()
    private var millis = 0L
    private var order = 0L
    var hosts = List(count) { ModelHost(HostId("host-$it"), "centre-${it % 3}", random, times) }

    /** A description of every time at which two hosts owned the same shard. */
    val doubleOwnerships = mutableListOf<String>()

    init {
        hosts.forEach { start(it) }
        check()
    }

    fun runUntil(end: Long) {
        while (events.isNotEmpty() && events.peek().at <= end) {
            val event = events.poll()
            millis = event.at
            event.action()
        }
        millis = end
    }

    /** The number of shards that have an owner with a valid lease. */
    fun ownedShards(): Int = owners().size

    private fun owners(): Map<Shard, List<HostId>> = hosts
        .filter { it.state.isLeased(it.now(millis)) }
        .flatMap { host -> host.state.owned.keys.map { it to host.id } }
        .groupBy({ it.first }, { it.second })

    private fun after(delay: Long, action: () -> Unit) {
        events += Event(millis + delay, order++, action)
    }

    private fun check() {
        owners().entries.firstOrNull { it.value.size > 1 }?.let { (shard, hosts) ->
            doubleOwnerships += "$millis ms: shard $shard at $hosts"
        }
        after(CHECK_MILLIS) { check() }
    }

    private fun start(host: ModelHost) {
        after(random.nextLong(ROUND_MILLIS)) { renewRound(host) }
        after(random.nextLong(ROUND_MILLIS)) { membershipRound(host) }
        after(random.nextLong(ROUND_MILLIS)) { injectFaults(host) }
    }

    private fun injectFaults(host: ModelHost) {
        if (host.stopped) return
        if (random.nextDouble() < faults.pauseChance) {
            host.pausedUntil = millis + random.nextLong(15_000)
        }
        if (random.nextDouble() < faults.restartChance) {
            host.stopped = true
            val next = ModelHost(host.id, host.state.self.dataCentre.value, random, times)
            hosts = hosts.map { if (it === host) next else it }
            start(next)
        }
        after(ROUND_MILLIS) { injectFaults(host) }
    }

    /** Runs [action] on [host], after its pause if it is paused, and not at all once it has stopped. */
    private fun runOn(host: ModelHost, action: () -> Unit) {
        when {
            host.stopped -> Unit
            millis < host.pausedUntil -> after(host.pausedUntil - millis) { runOn(host, action) }
            else -> action()
        }
    }

    /**
     * Calls the table: [serve] may run late or never. [answer] gets the reply and whether one arrived; without one the
     * result of the call is unknown.
     */
    private fun <T : Any> call(host: ModelHost, serve: () -> T?, answer: (T?, Boolean) -> Unit) {
        val isLate = random.nextDouble() < faults.lateCallChance
        val requestDelay = if (isLate) random.nextLong(MAX_LATE_MILLIS) else random.nextLong(10)
        val replyDelay =
            if (random.nextDouble() < faults.lateCallChance) random.nextLong(MAX_LATE_MILLIS) else random.nextLong(10)
        val lost = random.nextDouble() < faults.lostCallChance || faults.outages.any { millis in it }
        val replyLost = random.nextDouble() < faults.lostCallChance
        if (lost || replyLost || requestDelay + replyDelay > CALL_DEADLINE_MILLIS) {
            if (!lost) after(requestDelay) { serve() }
            after(CALL_DEADLINE_MILLIS) { runOn(host) { answer(null, false) } }
        } else {
            after(requestDelay) {
                val reply = serve()
                after(replyDelay) { runOn(host) { answer(reply, true) } }
            }
        }
    }

    private fun renewRound(host: ModelHost): Unit = runOn(host) {
        after(ROUND_MILLIS) { renewRound(host) }
        askPromises(host)
        if (host.state.attempts.isEmpty()) renew(host) else settle(host) { renew(host) }
    }

    private fun renew(host: ModelHost) {
        val plan = host.renewal(millis) ?: return
        call(host, { table.renew(plan) }) { version, answered ->
            when {
                version != null -> host.state = confirmRenewal(host.state, plan, version)
                answered -> settle(host) {}
            }
        }
    }

    private fun settle(host: ModelHost, then: () -> Unit) =
        call(host, { listOfNotNull(table.host(host.id)) }) { rows, answered ->
            if (answered) host.state = settleRenewals(host.state, rows?.firstOrNull())
            then()
        }

    private fun askPromises(host: ModelHost) {
        val incarnation = host.state.held?.lease?.incarnation ?: return
        val sentAt = host.now(millis)
        host.state.currentGuardians().forEach { id ->
            val lost = random.nextDouble() < faults.lostCallChance
            val guardian = hosts.first { it.id == id }
            after(random.nextLong(10)) {
                runOn(guardian) {
                    val given = guardian.promiseTo(host.id, incarnation, millis)
                    if (given && !lost) {
                        after(random.nextLong(10)) {
                            runOn(host) { host.state = confirmPromise(host.state, id, incarnation, sentAt) }
                        }
                    }
                }
            }
        }
    }

    private fun membershipRound(host: ModelHost): Unit = runOn(host) {
        after(ROUND_MILLIS) { membershipRound(host) }
        call(host, { table.hostRows() }) { rows, _ ->
            if (rows != null) {
                host.state = observeHosts(host.state, rows, host.now(millis)).state
                host.expiries(millis).forEach { plan ->
                    call(host, { table.expire(plan) }) { version, _ ->
                        if (version != null) host.state = confirmExpiry(host.state, plan)
                    }
                }
                val due = millis / ROUND_MILLIS % SHARD_SCAN_ROUNDS == 0L || host.state.missingShards().isNotEmpty()
                if (due) updateShards(host)
            }
        }
    }

    private fun updateShards(host: ModelHost): Unit = call(host, { table.shardRows() }) { rows, _ ->
        if (rows != null) host.state = observeShards(host.state, rows)
        planClaims(host.state, 1024, host.now(millis))?.let { plan ->
            call(host, { table.change(plan) }) { version, _ ->
                if (version != null) host.state = confirmClaim(host.state, plan, version, host.now(millis))
            }
        }
        host.release()?.let { plan ->
            call(host, { table.change(plan) }) { version, _ ->
                if (version != null) host.state = confirmRelease(host.state, plan, version)
            }
        }
    }
}

package figdeck.daemon.command.jobs

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.model.Refusal
import figdeck.model.serving.FleetMember
import figdeck.model.serving.JobRecord
import figdeck.model.serving.RelayAnswer
import figdeck.model.serving.RelayedSubmission
import figdeck.query.serving.isCutOff
import figdeck.query.serving.isSuspect
import figdeck.query.serving.liveMembers
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How long this host's own write may take before other hosts are asked. A store that is only slow answers by then. */
private val OWN_WRITE_HEAD_START = 300.milliseconds

/** The time between the requests to two hosts. */
private val RELAY_INTERVAL = 120.milliseconds

/** How many hosts are asked. With a third of the fleet cut off from the store, four miss it once in 80 jobs. */
private const val MAX_RELAYS = 4

/** Larger jobs aren't relayed, so that they take little memory of the hosts that are asked. */
private const val MAX_RELAYED_BYTES = 512 * 1024

/** Asks a host to store a job. Returns null if it gave no answer. */
internal typealias RelaySubmission = suspend (FleetMember, RelayedSubmission) -> RelayAnswer?

/**
 * Stores [submission] durably, here or through another host if this one doesn't reach the store in time, or refuses it.
 *
 * This answers a store that is silent for a part of the fleet: callers reach any host, and one without the store can't
 * accept a job although another one could. Several hosts may write the same job. The first record stays, and the other
 * hosts accept the job as a repetition.
 */
internal suspend fun JobServices.submitAnywhere(submission: Submission): Either<Refusal, Unit> {
    val isLarge = submission.items.sumOf { it.body.size } > MAX_RELAYED_BYTES
    val hosts = if (isLarge) emptyList() else relayHosts(submission)
    return submit(submission) { record -> persistAnywhere(record, submission, hosts) }
}

/** Whether calls of this host to the store have failed lately. */
internal fun JobServices.lacksStore(): Boolean {
    val state = control.snapshot
    return state.pools.silence.hasFailedCalls || state.fleet.isCutOff(clock())
}

/** The hosts to ask, nearest first. The body of a job that is confined to regions stays in this data centre. */
private fun JobServices.relayHosts(submission: Submission): List<FleetMember> {
    val now = clock()
    val fleet = control.snapshot.fleet
    val isConfined = submission.route.homes.isNotEmpty() || submission.team.homes.isNotEmpty()
    val (near, far) = fleet.liveMembers()
        .filter { it.host != fleet.self.host && !fleet.isSuspect(it.host, now) }
        .shuffled(random)
        .partition { it.dataCentre == fleet.self.dataCentre }
    return (if (isConfined) near else near + far).take(MAX_RELAYS)
}

private suspend fun JobServices.persistAnywhere(
    record: JobRecord,
    submission: Submission,
    hosts: List<FleetMember>,
): Either<Refusal, Unit> = coroutineScope {
    val results = Channel<Either<Refusal, Unit>>(Channel.UNLIMITED)
    launch { results.send(persist(record, submission)) }
    launchRelays(this@persistAnywhere, submission, hosts, results)
    var failure: Refusal? = null
    var remaining = hosts.size + 1
    while (remaining > 0) {
        val refusal = results.receive().leftOrNull()
        failure = refusal?.let { worse(failure, it) }
        remaining = if (failure == null || failure.isFinal) 0 else remaining - 1
    }
    coroutineContext.cancelChildren()
    failure?.left() ?: Unit.right()
}

/** One write without a known result outweighs any refusal: the job may have been stored. */
private fun worse(known: Refusal?, latest: Refusal): Refusal = if (known is Refusal.Unconfirmed) known else latest

/** Whether another host would refuse the job too. */
private val Refusal.isFinal: Boolean get() = this !is Refusal.Unconfirmed && this !is Refusal.StoreUnavailable

private fun CoroutineScope.launchRelays(
    services: JobServices,
    submission: Submission,
    hosts: List<FleetMember>,
    results: Channel<Either<Refusal, Unit>>,
) {
    val headStart = if (services.lacksStore()) Duration.ZERO else OWN_WRITE_HEAD_START
    val relayed = with(submission) { RelayedSubmission(id, team.id, route.name, planVersion, items) }
    hosts.forEachIndexed { i, host ->
        launch {
            delay(headStart + RELAY_INTERVAL * i)
            results.send(services.relayTo(host, relayed))
        }
    }
}

private suspend fun JobServices.relayTo(host: FleetMember, submission: RelayedSubmission): Either<Refusal, Unit> {
    val askedAt = clock()
    val answer = relaySubmission(host, submission)
    log.note("relayed", submission.id.value) {
        put("to", host.host.value)
        put("answer", answer?.name?.lowercase() ?: "none")
        put("took_ms", (clock() - askedAt).inWholeMilliseconds)
    }
    return when (answer) {
        RelayAnswer.STORED -> Unit.right()
        RelayAnswer.NOT_STORED -> refusalOfWrite(isUncertain = false).left()
        RelayAnswer.UNKNOWN, null -> refusalOfWrite(isUncertain = true).left()
    }
}

package figdeck.daemon.command.jobs

import arrow.core.Either
import figdeck.command.serving.VersionedJob
import figdeck.command.serving.putJob
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.updateJobs
import figdeck.daemon.command.serving.CrashGuard
import figdeck.daemon.command.serving.SendOptions
import figdeck.daemon.command.serving.SlotClient
import figdeck.daemon.command.serving.UpstreamReply
import figdeck.http.client.ExchangeFailure
import figdeck.log.DecisionLog
import figdeck.model.Clock
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobOwner
import figdeck.model.serving.JobRecord
import figdeck.model.serving.OutputRunId
import figdeck.model.serving.PromptPart
import figdeck.model.serving.ServingRoute
import figdeck.model.serving.WeightsVersion
import figdeck.model.serving.WorkFeatures
import figdeck.query.serving.NotRunCause
import kotlinx.coroutines.sync.Semaphore
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val ID_RADIX = 36
private const val MAX_ACCEPTED_RELAYS = 4

/** An item that is sent to an upstream. */
internal data class ItemCall(
    val item: JobItem,
    val route: ServingRoute,
    val team: TeamId,
)

/** Sends an item with the given options and passes the response to the function. */
internal typealias ForwardItem =
    suspend (ItemCall, SendOptions, suspend (UpstreamReply) -> Unit) -> Either<ExchangeFailure, Unit>

/**
 * The dependencies for running batch jobs.
 *
 * @property sharedParts returns the parts of an item's prompt that other requests may share.
 * @property sendFault returns the reason why an item can't be sent to any upstream; null if it can.
 * @property features returns what an item on a route tells about its work; null if it tells nothing.
 * @property expectedWeights returns the weights that an item asks for; null for any.
 * @property countMisdirected counts an item that an upstream rejected as misdirected in the metrics.
 * @property relaySubmission asks another host to store a job.
 * @property acceptedRelays limits the jobs that this host stores for others at the same time.
 */
internal data class JobServices(
    val control: Control<ServingState>,
    val clock: Clock,
    val store: JobStore,
    val progress: ProgressStore,
    val cache: JobCache,
    val memory: JobMemory,
    val timeEstimator: ItemTimeEstimator,
    val slots: SlotClient,
    val crashGuard: CrashGuard,
    val forward: ForwardItem,
    val random: Random,
    val log: DecisionLog,
    val sharedParts: (JobItem) -> List<PromptPart>,
    val sendFault: (JobItem) -> String?,
    val features: (route: String, JobItem) -> WorkFeatures? = { _, _ -> null },
    val expectedWeights: (JobItem) -> WeightsVersion? = { null },
    val countMisdirected: (NotRunCause) -> Unit = {},
    val relaySubmission: RelaySubmission = { _, _ -> null },
    val acceptedRelays: Semaphore = Semaphore(MAX_ACCEPTED_RELAYS),
)

/** This host in its current incarnation. */
internal val JobServices.self: JobOwner
    get() = control.snapshot.fleet.self.let { JobOwner(it.host, it.incarnation) }

/** Returns a random id that identifies one write of a job record. */
internal fun JobServices.newWriteId(): String = random.nextLong().toULong().toString(ID_RADIX)

/** Returns a random id for the outputs that this host generates while it owns a job. */
internal fun JobServices.newRunId(): OutputRunId = OutputRunId(newWriteId())

/** Stores [job] in this host's job directory unless a later version is known. */
internal suspend fun JobServices.updateJobDirectory(job: VersionedJob) {
    control.run { state, _ -> updateJobs(state) { putJob(it, job) } }
}

/** The wall-clock time from the job's submission to [now]. */
internal fun JobRecord.age(now: Moment): Duration = (now.epochMillis - submittedAtMillis).milliseconds

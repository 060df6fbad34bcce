package figdeck.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Why work was refused. Each kind says what to do about it and whether the work may have run. */
public sealed interface Refusal {
    /** What happened and its remedy. */
    public val message: String

    /** Whether the work may have run. */
    public val ran: MayHaveRun get() = MayHaveRun.NO

    /** When to come back, where waiting helps. */
    public val retryAfter: Duration? get() = null

    /** No key came with a request that needs one. */
    public data object MissingKey : Refusal {
        override val message: String get() = "no key came with the request: send 'Authorization: Bearer KEY'"
    }

    /** The key is unknown or withdrawn. */
    public data object UnknownKey : Refusal {
        override val message: String get() = "the key is unknown or withdrawn: ask the operators for a new one"
    }

    /** The key was withdrawn while its work ran as [id]. */
    public data class KeyWithdrawn(public val id: RequestId) : Refusal {
        override val message: String
            get() = "the key was withdrawn while request '$id' ran: read /v1/results/$id with another key of the team"
        override val ran: MayHaveRun get() = MayHaveRun.UNKNOWN
    }

    /** The request breaks the protocol at [path]. */
    public data class BadRequest(public val path: String, public val remedy: String) : Refusal {
        override val message: String get() = "$path: $remedy"
    }

    /** The body is longer than [limitBytes]. */
    public data class BodyTooLarge(public val limitBytes: Int) : Refusal {
        override val message: String get() = "the body is too large: send at most $limitBytes bytes"
    }

    /** The team may not use [model], or no template has it. */
    public data class ModelNotFound(public val model: String) : Refusal {
        override val message: String
            get() = "model '$model' is not open to this team: ask for one that its template grants"
    }

    /** The item asks for more tokens than the model gives. */
    public data class TooManyTokens(public val requested: Int, public val max: Int) : Refusal {
        override val message: String get() = "max_tokens $requested is over the model's $max: ask for at most $max"
    }

    /** The team may not use [route], or no template has it. */
    public data class RouteNotFound(public val route: String) : Refusal {
        override val message: String
            get() = "route '$route' is not open to this team: call one that its template grants"
    }

    /** Nothing stands at the path, or it belongs to another team. */
    public data class NotFound(public val resource: String) : Refusal {
        override val message: String get() = "$resource was not found: check the name and the key"
    }

    /** The team has used up its rate and burst. */
    public data class RateLimited(public val team: TeamId, override val retryAfter: Duration) : Refusal {
        override val message: String
            get() = "team '$team' is over its rate: wait ${retryAfter.inWholeMilliseconds} ms and send again"
    }

    /** The host that keeps the limit of [team] can't be reached, or there is none just now. */
    public data class LimitUnavailable(public val team: TeamId) : Refusal {
        override val message: String
            get() = "the limit of team '$team' can't be checked now: send again after a second"
        override val retryAfter: Duration get() = 1.seconds
    }

    /** Too much work waits already. */
    public data class Overloaded(public val resource: String, override val retryAfter: Duration) : Refusal {
        override val message: String get() = "$resource is overloaded: send again after the time in Retry-After"
    }

    /** No upstream could be reached, and nothing was sent. */
    public data class NoUpstream(public val resource: String) : Refusal {
        override val message: String get() = "no upstream of $resource can be reached: send again after a second"
        override val retryAfter: Duration get() = 1.seconds
    }

    /** An upstream was lost after the work was sent to it. */
    public data class UpstreamLost(public val upstream: UpstreamId) : Refusal {
        override val message: String
            get() = "upstream '$upstream' was lost after it got the work: check its effect before sending again"
        override val ran: MayHaveRun get() = MayHaveRun.UNKNOWN
    }

    /** The answer was not whole after [limit], the longest time that the caller or the operators allow. */
    public data class AnswerTimeout(public val limit: Duration) : Refusal {
        override val message: String
            get() = "no whole answer came within $limit: the work may have run, so check before sending again"
        override val ran: MayHaveRun get() = MayHaveRun.UNKNOWN
    }

    /** The daemon can't tell whether its configuration is current. */
    public data object StaleConfiguration : Refusal {
        override val message: String get() = "this host can't confirm which keys are valid: send again after a second"
        override val retryAfter: Duration get() = 1.seconds
    }

    /** The platform's service can't keep the work now. */
    public data class StoreUnavailable(override val retryAfter: Duration) : Refusal {
        override val message: String get() = "the work can't be kept now: send again after the time in Retry-After"
    }

    /** The platform's service did not tell in time whether it keeps the work. */
    public data class Unconfirmed(override val retryAfter: Duration) : Refusal {
        override val message: String
            get() = "it is not known yet whether the work was kept: send the same again to get the first one's id"
        override val ran: MayHaveRun get() = MayHaveRun.UNKNOWN
    }

    /** The daemon is stopping. */
    public data object Draining : Refusal {
        override val message: String get() = "this host is stopping: send again, and another host will answer"
        override val retryAfter: Duration get() = 1.seconds
    }

    /** The same idempotency key came with another body. */
    public data class IdempotencyKeyReused(public val idempotencyKey: String) : Refusal {
        override val message: String
            get() = "idempotency key '$idempotencyKey' was used with another body: use a new one for new work"
    }

    /** The work was cancelled before it ran. */
    public data object Cancelled : Refusal {
        override val message: String get() = "the work was cancelled before it ran: submit it again if it is wanted"
    }

    /** The request with this idempotency key is still running as [id]. */
    public data class StillRunning(public val id: RequestId) : Refusal {
        override val message: String get() = "request '$id' is still running: read /v1/results/$id later"
        override val ran: MayHaveRun get() = MayHaveRun.UNKNOWN
        override val retryAfter: Duration get() = 1.seconds
    }

    /** The commit of the acceptance of [id] has not been settled yet; if it stands, the request will run. */
    public data class InDoubt(public val id: RequestId) : Refusal {
        override val message: String
            get() = "request '$id' may have been accepted: read /v1/results/$id before sending again"
        override val ran: MayHaveRun get() = MayHaveRun.UNKNOWN
        override val retryAfter: Duration get() = 1.seconds
    }

    /** Another host took request [id] over while this one was running it. */
    public data class TakenOver(public val id: RequestId) : Refusal {
        override val message: String get() = "another host took request '$id' over: read /v1/results/$id"
        override val ran: MayHaveRun get() = MayHaveRun.UNKNOWN
        override val retryAfter: Duration get() = 1.seconds
    }

    /** The host was lost after it intended to send work that must not be repeated. */
    public data class HostLost(public val host: HostId) : Refusal {
        override val message: String
            get() = "unknown: may have run; host '$host' was lost on the way: check its effect before sending again"
        override val ran: MayHaveRun get() = MayHaveRun.UNKNOWN
    }

    /** The host was lost before it sent the work anywhere. */
    public data class NotStarted(public val host: HostId) : Refusal {
        override val message: String get() = "host '$host' was lost before the work was sent: send it again"
    }

    /** A refusal read back from a durable record. */
    public data class Recorded(
        public val type: String,
        override val message: String,
        override val ran: MayHaveRun,
    ) : Refusal
}

package figdeck.model

import figdeck.model.serving.WeightsVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The reason why a request was refused. Each kind states a remedy and whether the work may have run. */
public sealed interface Refusal {
    /** The cause and its remedy. */
    public val message: String

    /** Whether the work may have run. */
    public val ran: MayHaveRun get() = MayHaveRun.NO

    /** How long to wait before retrying; null if a retry after a delay doesn't help. */
    public val retryAfter: Duration? get() = null

    /** The request requires a key and contains none. */
    public data object MissingKey : Refusal {
        override val message: String get() = "no key came with the request: send 'Authorization: Bearer KEY'"
    }

    /** The key is unknown or withdrawn. */
    public data object UnknownKey : Refusal {
        override val message: String get() = "the key is unknown or withdrawn: ask the operators for a new one"
    }

    /** The key was withdrawn while request [id] was running with it. */
    public data class KeyWithdrawn(public val id: RequestId) : Refusal {
        override val message: String
            get() = "the key was withdrawn while request '$id' ran: read /v1/results/$id with another key of the team"
        override val ran: MayHaveRun get() = MayHaveRun.UNKNOWN
    }

    /** The request is malformed at [path]. */
    public data class BadRequest(public val path: String, public val remedy: String) : Refusal {
        override val message: String get() = "$path: $remedy"
    }

    /** The body is longer than [limitBytes]. */
    public data class BodyTooLarge(public val limitBytes: Int) : Refusal {
        override val message: String get() = "the body is too large: send at most $limitBytes bytes"
    }

    /** The team may not use [model], or no template defines it. */
    public data class ModelNotFound(public val model: String) : Refusal {
        override val message: String
            get() = "model '$model' is not open to this team: ask for one that its template grants"
    }

    /** The request asks for more tokens than the model allows. */
    public data class TooManyTokens(public val requested: Int, public val max: Int) : Refusal {
        override val message: String get() = "max_tokens $requested is over the model's $max: ask for at most $max"
    }

    /** The team may not use [route], or no template defines it. */
    public data class RouteNotFound(public val route: String) : Refusal {
        override val message: String
            get() = "route '$route' is not open to this team: call one that its template grants"
    }

    /** The resource doesn't exist or belongs to another team. */
    public data class NotFound(public val resource: String) : Refusal {
        override val message: String get() = "$resource was not found: check the name and the key"
    }

    /** The team has exceeded its rate limit, including the burst. */
    public data class RateLimited(public val team: TeamId, override val retryAfter: Duration) : Refusal {
        override val message: String
            get() = "team '$team' is over its rate: wait ${retryAfter.inWholeMilliseconds} ms and send again"
    }

    /** The host that owns the rate limit of [team] is unreachable, or no host owns it at the moment. */
    public data class LimitUnavailable(public val team: TeamId) : Refusal {
        override val message: String
            get() = "the limit of team '$team' can't be checked now: send again after a second"
        override val retryAfter: Duration get() = 1.seconds
    }

    /** Too much work is already waiting. */
    public data class Overloaded(public val resource: String, override val retryAfter: Duration) : Refusal {
        override val message: String get() = "$resource is overloaded: send again after the time in Retry-After"
    }

    /** The prompt has a [part] that crashed several upstreams. It is not sent for [retryAfter]. */
    public data class PromptQuarantined(public val part: String, override val retryAfter: Duration) : Refusal {
        override val message: String
            get() = "part '$part' of the prompt crashed several upstreams: send another prompt, " +
                "or the same after the time in Retry-After"
    }

    /** The request itself crashed several upstreams. It is not sent for [retryAfter]. */
    public data class RequestQuarantined(override val retryAfter: Duration) : Refusal {
        override val message: String
            get() = "this request crashed several upstreams: send another one, " +
                "or the same after the time in Retry-After"
    }

    /** No upstream could be reached; nothing was sent. */
    public data class NoUpstream(public val resource: String) : Refusal {
        override val message: String get() = "no upstream of $resource can be reached: send again after a second"
        override val retryAfter: Duration get() = 1.seconds
    }

    /** The data centres of all upstreams that may run the work are evacuated; nothing was sent. */
    public data class Evacuated(public val resource: String) : Refusal {
        override val message: String
            get() = "the data centres of all upstreams of $resource are evacuated: send again after a second"
        override val retryAfter: Duration get() = 1.seconds
    }

    /** No usable upstream is in a region to which the route or the team confines the work; nothing was sent. */
    public data class NoHomeUpstream(public val resource: String) : Refusal {
        override val message: String
            get() = "no usable upstream of $resource is in a region that the route and the team allow: " +
                "ask the operators, or send again after a second"
        override val retryAfter: Duration get() = 1.seconds
    }

    /** No upstream is known to have the [weights] that the request asks for; it was not run. */
    public data class WeightsUnavailable(public val weights: WeightsVersion) : Refusal {
        override val message: String
            get() = "no upstream is known to have version '$weights' of the weights: ask for another version or for any"
    }

    /** An upstream was lost after the work was sent to it. */
    public data class UpstreamLost(public val upstream: UpstreamId) : Refusal {
        override val message: String
            get() = "upstream '$upstream' was lost after it got the work: check its effect before sending again"
        override val ran: MayHaveRun get() = MayHaveRun.UNKNOWN
    }

    /** The response was incomplete after [limit], the time that the caller, the operators or a planned stop allow. */
    public data class AnswerTimeout(public val limit: Duration) : Refusal {
        override val message: String
            get() = "no whole answer came within $limit: the work may have run, so check before sending again"
        override val ran: MayHaveRun get() = MayHaveRun.UNKNOWN
    }

    /** The daemon can't confirm that its configuration is current. */
    public data object StaleConfiguration : Refusal {
        override val message: String get() = "this host can't confirm which keys are valid: send again after a second"
        override val retryAfter: Duration get() = 1.seconds
    }

    /** The platform's store can't persist the work at the moment. */
    public data class StoreUnavailable(override val retryAfter: Duration) : Refusal {
        override val message: String get() = "the work can't be kept now: send again after the time in Retry-After"
    }

    /** The platform's store did not confirm in time whether the work was persisted. */
    public data class Unconfirmed(override val retryAfter: Duration) : Refusal {
        override val message: String
            get() = "it is not known yet whether the work was kept: send the same again to get the first one's id"
        override val ran: MayHaveRun get() = MayHaveRun.UNKNOWN
    }

    /** The daemon is draining before it stops. */
    public data object Draining : Refusal {
        override val message: String get() = "this host is stopping: send again, and another host will answer"

        /** The other hosts are as ready now as later. */
        override val retryAfter: Duration get() = Duration.ZERO
    }

    /** The idempotency key was already used with a different body. */
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

    /** The result of the commit that accepts [id] is not known yet; if it succeeded, the request will run. */
    public data class InDoubt(public val id: RequestId) : Refusal {
        override val message: String
            get() = "request '$id' may have been accepted: read /v1/results/$id before sending again"
        override val ran: MayHaveRun get() = MayHaveRun.UNKNOWN
        override val retryAfter: Duration get() = 1.seconds
    }

    /** Another host took over request [id] while this host was running it. */
    public data class TakenOver(public val id: RequestId) : Refusal {
        override val message: String get() = "another host took request '$id' over: read /v1/results/$id"
        override val ran: MayHaveRun get() = MayHaveRun.UNKNOWN
        override val retryAfter: Duration get() = 1.seconds
    }

    /** The host was lost after it recorded the intent to send non-idempotent work. */
    public data class HostLost(public val host: HostId) : Refusal {
        override val message: String
            get() = "unknown: may have run; host '$host' was lost on the way: check its effect before sending again"
        override val ran: MayHaveRun get() = MayHaveRun.UNKNOWN
    }

    /** The host was lost before it sent the work to an upstream. */
    public data class NotStarted(public val host: HostId) : Refusal {
        override val message: String get() = "host '$host' was lost before the work was sent: send it again"
    }

    /** A refusal that was read from a durable record. */
    public data class Recorded(
        public val type: String,
        override val message: String,
        override val ran: MayHaveRun,
    ) : Refusal
}

package figdeck.query

import figdeck.model.HostId
import figdeck.model.OpenRequest
import figdeck.model.Outcome
import figdeck.model.RequestRecord
import figdeck.model.UpstreamId
import figdeck.model.Work

/**
 * What became of a request, as far as durable records tell.
 *
 * @property open what tells that it has not ended; null once it has.
 * @property steps its course, in the order of time.
 */
public data class Explanation(
    public val record: RequestRecord,
    public val open: OpenRequest?,
    public val steps: List<ExplainedStep>,
)

/** One step in the course of a request; [upstream] is null where none had a part in it. */
public data class ExplainedStep(
    public val atMillis: Long,
    public val kind: StepKind,
    public val host: HostId,
    public val upstream: UpstreamId?,
    public val detail: String,
)

/** What happened in a step. */
public enum class StepKind {
    /** The request was accepted and became durable. */
    ACCEPTED,

    /** The sending of a call that must not be repeated was about to begin. */
    INTENDED,

    /** The request was sent to an upstream, or tried to be. */
    SENT,

    /** The request ended. */
    ENDED,
}

/** Explains [record], which has not ended while its [open] row stands. */
public fun explain(record: RequestRecord, open: OpenRequest?): Explanation {
    val accepted = ExplainedStep(record.acceptedAtMillis, StepKind.ACCEPTED, record.host, null, acceptance(record))
    val intended = open?.intent?.let {
        ExplainedStep(it.atMillis, StepKind.INTENDED, it.host, it.upstream, "may have run from here on")
    }
    val sent = record.attempts.map {
        ExplainedStep(it.startedAtMillis, StepKind.SENT, it.host, it.upstream, it.result)
    }
    return Explanation(record, open, listOf(accepted) + listOfNotNull(intended) + sent + listOfNotNull(ended(record)))
}

private fun acceptance(record: RequestRecord): String {
    val what = when (val work = record.work) {
        is Work.Chat -> "chat turn for model '${work.model}', up to ${work.maxTokens} tokens"
        is Work.ServiceCall -> "${work.method} ${work.path} on route '${work.route}'"
    }
    val team = record.team?.let { "team '$it'" } ?: "an open route"
    return "$what for $team, epoch ${record.epoch}, revision ${record.revision}"
}

private fun ended(record: RequestRecord): ExplainedStep? {
    val detail = when (val outcome = record.outcome) {
        null -> null
        is Outcome.ChatAnswered -> "answered, finish reason '${outcome.finishReason}'"
        is Outcome.CallAnswered -> "answered with status ${outcome.status}"
        is Outcome.Failed -> "failed, ran ${outcome.refusal.ran.name.lowercase()}: ${outcome.refusal.message}"
    }
    val last = record.attempts.lastOrNull()
    val host = last?.host ?: record.host
    return detail?.let {
        ExplainedStep(record.endedAtMillis ?: record.acceptedAtMillis, StepKind.ENDED, host, last?.upstream, it)
    }
}

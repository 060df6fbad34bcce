package figdeck.query

import figdeck.model.HostId
import figdeck.model.OpenRequest
import figdeck.model.Outcome
import figdeck.model.RequestRecord
import figdeck.model.UpstreamId
import figdeck.model.Work

/**
 * The history of a request, from its durable records.
 *
 * @property open the row that exists until the request ends; null afterwards.
 * @property steps the steps of the request, in order of time.
 */
public data class Explanation(
    public val record: RequestRecord,
    public val open: OpenRequest?,
    public val steps: List<ExplainedStep>,
)

/** One step in the history of a request; [upstream] is null if no upstream was involved. */
public data class ExplainedStep(
    public val atMillis: Long,
    public val kind: StepKind,
    public val host: HostId,
    public val upstream: UpstreamId?,
    public val detail: String,
)

/** The kind of a step. */
public enum class StepKind {
    /** The request was accepted and became durable. */
    ACCEPTED,

    /** The intent to send a call that must not be repeated was recorded, before the call was sent. */
    INTENDED,

    /** An attempt was made to send the request to an upstream. */
    SENT,

    /** The request ended. */
    ENDED,
}

/** Explains [record], which has not ended as long as its [open] row exists. */
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

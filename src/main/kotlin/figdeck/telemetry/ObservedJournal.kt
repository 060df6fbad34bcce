package figdeck.telemetry

import figdeck.daemon.command.Acceptance
import figdeck.daemon.command.Journal
import io.opentelemetry.api.trace.SpanKind

private const val JOURNAL_TIMER = "figdeck.journal.wait"

/** Wraps [journal] to time a request's wait for each of its records and record it as a span. */
internal fun observed(journal: Journal, telemetry: Telemetry): Journal = Journal(
    accept = { record -> telemetry.inRecordSpan("accept", { it.outcome }) { journal.accept(record) } },
    recordIntent = { record, intent ->
        telemetry.inRecordSpan(
            "intend",
            { if (it.isRight()) "kept" else "refused" }
        ) { journal.recordIntent(record, intent) }
    },
    finish = { record -> telemetry.inRecordSpan("finish", { it.name.lowercase() }) { journal.finish(record) } },
    finishRecovered = { record, fence ->
        telemetry.inRecordSpan("recover", { it.name.lowercase() }) { journal.finishRecovered(record, fence) }
    },
)

private suspend fun <T> Telemetry.inRecordSpan(name: String, outcomeOf: (T) -> String, call: suspend () -> T): T =
    tracer.inSpan("journal $name", SpanKind.INTERNAL, currentTrace()) { span ->
        val start = clock()
        val result = call()
        span.setAttribute("outcome", outcomeOf(result))
        meters.recordTime(JOURNAL_TIMER, clock() - start, listOf("call", name, "outcome", outcomeOf(result)))
        result
    }

private val Acceptance.outcome: String
    get() = when (this) {
        Acceptance.Accepted -> "kept"
        is Acceptance.Resent -> "resent"
        is Acceptance.Refused -> "refused"
    }

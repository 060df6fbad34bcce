package figdeck.telemetry

import io.opentelemetry.context.Context
import kotlin.coroutines.AbstractCoroutineContextElement
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.coroutineContext

/** Carries the trace [context] in the coroutine context, so that it follows the coroutine across threads. */
internal class TraceElement(val context: Context) : AbstractCoroutineContextElement(TraceElement) {
    companion object Key : CoroutineContext.Key<TraceElement>
}

/** The trace context of the running coroutine. */
internal suspend fun currentTrace(): Context = coroutineContext[TraceElement]?.context ?: Context.root()

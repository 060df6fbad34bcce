package figdeck.telemetry

import figdeck.model.CallResult
import figdeck.store.Store
import figdeck.store.command.StoreCommands
import figdeck.store.query.StoreQueries
import io.opentelemetry.api.trace.SpanKind

private const val STORE_TIMER = "figdeck.store"

/** Wraps [platform] to time each call and record it as a span. */
internal fun observed(platform: Store, telemetry: Telemetry): Store {
    val commands = platform.commands
    val queries = platform.queries
    return Store(
        StoreCommands(
            commit = { telemetry.inStoreSpan("commit") { commands.commit(it) } },
            putObject = { key, bytes -> telemetry.inStoreSpan("put") { commands.putObject(key, bytes) } },
            deleteObject = { telemetry.inStoreSpan("delete") { commands.deleteObject(it) } },
        ),
        StoreQueries(
            readRow = { telemetry.inStoreSpan("read") { queries.readRow(it) } },
            scanRows = { prefix, after, limit ->
                telemetry.inStoreSpan("scan") { queries.scanRows(prefix, after, limit) }
            },
            readObject = { telemetry.inStoreSpan("get") { queries.readObject(it) } },
            listHosts = { telemetry.inStoreSpan("hosts") { queries.listHosts() } },
        ),
    )
}

private suspend fun <T> Telemetry.inStoreSpan(
    name: String,
    call: suspend () -> CallResult<T>,
): CallResult<T> = tracer.inSpan("store $name", SpanKind.CLIENT, currentTrace()) { span ->
    val start = clock()
    val result = call()
    span.setAttribute("outcome", result.outcome)
    meters.recordTime(STORE_TIMER, clock() - start, listOf("call", name, "outcome", result.outcome))
    result
}

private val CallResult<*>.outcome: String
    get() = when (this) {
        is CallResult.Done -> "done"
        is CallResult.NotDone -> "not_done"
        is CallResult.Refused -> "refused"
        is CallResult.Unknown -> "unknown"
    }

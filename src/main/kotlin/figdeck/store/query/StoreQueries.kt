package figdeck.store.query

import figdeck.model.CallResult
import figdeck.model.ListedHost
import figdeck.model.Row

/** The result of a lookup; [value] is null if the entry does not exist. */
public data class Lookup<out T>(public val value: T?)

/**
 * The operations that read the platform's state. Each call suspends no longer than its deadline.
 *
 * @property readRow reads a row of the table.
 * @property scanRows reads, in key order, up to `limit` rows whose key starts with `prefix` and comes after `after`.
 * @property readObject reads an object.
 * @property listHosts reads the hosts list, which lags.
 */
public data class StoreQueries(
    public val readRow: suspend (key: String) -> CallResult<Lookup<Row>>,
    public val scanRows: suspend (prefix: String, after: String, limit: Int) -> CallResult<List<Row>>,
    public val readObject: suspend (key: String) -> CallResult<Lookup<ByteArray>>,
    public val listHosts: suspend () -> CallResult<List<ListedHost>>,
)

package figdeck.store.query

import figdeck.model.CallResult
import figdeck.model.ListedHost
import figdeck.model.Row

/** The result of reading something that may not exist. */
public data class Lookup<out T>(public val value: T?)

/**
 * What reads the platform's state. Each call suspends until its deadline at most.
 *
 * @property readRow reads one row of the table.
 * @property scanRows reads rows whose key starts with a prefix and comes after a key, in key order, up to a count.
 * @property readObject reads an object.
 * @property listHosts reads the hosts list, which lags.
 */
public data class StoreQueries(
    public val readRow: suspend (key: String) -> CallResult<Lookup<Row>>,
    public val scanRows: suspend (prefix: String, after: String, limit: Int) -> CallResult<List<Row>>,
    public val readObject: suspend (key: String) -> CallResult<Lookup<ByteArray>>,
    public val listHosts: suspend () -> CallResult<List<ListedHost>>,
)

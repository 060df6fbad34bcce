package figdeck.daemon.query

import figdeck.daemon.command.openKey
import figdeck.daemon.command.requestKey
import figdeck.model.CallResult
import figdeck.model.HostId
import figdeck.model.OpenRequest
import figdeck.model.RequestId
import figdeck.model.RequestRecord
import figdeck.model.map
import figdeck.store.query.Lookup
import figdeck.store.query.StoreQueries
import figdeck.wire.decodeOpenRequest
import figdeck.wire.decodeRecord

/**
 * The durable records of requests.
 *
 * @property find reads the record of a request.
 * @property findOpenRequest reads the row that marks a request of a host as not ended.
 */
public data class RequestRecords(
    public val find: suspend (RequestId) -> CallResult<Lookup<RequestRecord>>,
    public val findOpenRequest: suspend (HostId, RequestId) -> CallResult<Lookup<OpenRequest>>,
)

/** The records in the platform's table. */
internal fun tableRequestRecords(queries: StoreQueries): RequestRecords = RequestRecords(
    find = { id ->
        queries.readRow(requestKey(id)).map { found -> Lookup(found.value?.let { decodeRecord(it.value) }) }
    },
    findOpenRequest = { host, id ->
        queries.readRow(openKey(host, id)).map { found -> Lookup(found.value?.let { decodeOpenRequest(it.value) }) }
    },
)

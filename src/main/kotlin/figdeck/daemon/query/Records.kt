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
 * @property findOpen reads the sign that a request of a host has not ended.
 */
public data class Records(
    public val find: suspend (RequestId) -> CallResult<Lookup<RequestRecord>>,
    public val findOpen: suspend (HostId, RequestId) -> CallResult<Lookup<OpenRequest>>,
)

/** The records in the platform's table. */
internal fun tableRecords(queries: StoreQueries): Records = Records(
    find = { id ->
        queries.readRow(requestKey(id)).map { found -> Lookup(found.value?.let { decodeRecord(it.value) }) }
    },
    findOpen = { host, id ->
        queries.readRow(openKey(host, id)).map { found -> Lookup(found.value?.let { decodeOpenRequest(it.value) }) }
    },
)

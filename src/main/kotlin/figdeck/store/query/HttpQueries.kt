package figdeck.store.query

import figdeck.model.map
import figdeck.store.NOT_FOUND
import figdeck.store.StoreHttp
import figdeck.store.call
import figdeck.store.command.encodeParameter
import figdeck.store.command.objectTarget
import figdeck.wire.decodeHosts
import figdeck.wire.decodeRows

/** The platform's queries over HTTP with JSON. */
internal fun httpQueries(platform: StoreHttp): StoreQueries = StoreQueries(
    readRow = { key ->
        platform.call("GET", "/table/row?key=${encodeParameter(key)}")
            .map { reply -> Found(decodeRows(reply.text).firstOrNull()) }
    },
    scanRows = { prefix, after, limit ->
        platform.call(
            "GET",
            "/table/scan?prefix=${encodeParameter(prefix)}&after=${encodeParameter(after)}&limit=$limit"
        )
            .map { reply -> decodeRows(reply.text) }
    },
    readObject = { key ->
        platform.call("GET", objectTarget(key))
            .map { reply -> Found(reply.body.takeIf { reply.status != NOT_FOUND }) }
    },
    listHosts = { platform.call("GET", "/hosts").map { decodeHosts(it.text) } },
)

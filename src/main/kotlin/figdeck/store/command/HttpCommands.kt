package figdeck.store.command

import figdeck.model.map
import figdeck.store.StoreHttp
import figdeck.store.call
import figdeck.wire.decodeCommitReply
import figdeck.wire.encodeTransaction
import java.net.URLEncoder

/** The platform's commands over HTTP with JSON. */
internal fun httpCommands(platform: StoreHttp): StoreCommands = StoreCommands(
    commit = { transaction ->
        platform.call("POST", "/table/commit", encodeTransaction(transaction).encodeToByteArray())
            .map { decodeCommitReply(it.text) }
    },
    putObject = { key, bytes -> platform.call("PUT", objectTarget(key), bytes).map { } },
    deleteObject = { key -> platform.call("DELETE", objectTarget(key)).map { } },
)

/** The target of the object [key]. */
internal fun objectTarget(key: String): String = "/objects?key=${encodeParameter(key)}"

internal fun encodeParameter(value: String): String = URLEncoder.encode(value, Charsets.UTF_8)

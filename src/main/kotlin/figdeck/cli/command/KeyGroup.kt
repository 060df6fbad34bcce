package figdeck.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import figdeck.cli.query.KeyList
import figdeck.http.client.encodeSegment
import figdeck.model.KeyId
import figdeck.model.TeamKey
import figdeck.model.hashKey
import figdeck.wire.command.encodeKeyGrant
import java.security.SecureRandom
import java.util.Base64

private const val KEYS_PATH = "/v1/keys"
private const val KEY_BYTES = 32
private const val KEY_ID_BYTES = 6
private const val KEY_PREFIX = "fd_"

/** Groups the commands that manage callers' keys. */
internal class KeyGroup : CliktCommand("key") {
    init {
        subcommands(KeyGrant(), KeyWithdraw(), KeyList())
    }

    override fun help(context: Context): String = "Grant, withdraw and list callers' keys."

    override fun run() = Unit
}

private class KeyGrant : ChangeCommand("grant") {
    private val team by argument(help = "Team that the key belongs to.")
    private val id by option(help = "Id of the key; random by default.")

    override fun help(context: Context): String = "Create a key, print it once and store its hash."

    override fun run() {
        val random = SecureRandom()
        val key = KEY_PREFIX + random.base64Url(KEY_BYTES)
        val keyId = KeyId(id ?: "key-${random.hex(KEY_ID_BYTES)}")
        // Prints the key before submitting its hash, so that the operator has the key even if the response is lost.
        echo("key $keyId of team $team, shown only once: $key", err = operatorOptions.json)
        submitChange("POST", KEYS_PATH, encodeKeyGrant(team, TeamKey(keyId, hashKey(key))))
    }
}

private class KeyWithdraw : ChangeCommand("withdraw") {
    private val keyId by argument(help = "Id of the key.")
    private val team by option(help = "Team of the key; required if several teams have a key with this id.")

    override fun help(context: Context): String = "Withdraw a key on every host."

    override fun run() {
        submitChange("DELETE", "$KEYS_PATH/${encodeSegment(keyId)}", team = team)
    }
}

private fun SecureRandom.bytes(count: Int): ByteArray = ByteArray(count).also { nextBytes(it) }

private fun SecureRandom.base64Url(count: Int): String =
    Base64.getUrlEncoder().withoutPadding().encodeToString(bytes(count))

private fun SecureRandom.hex(count: Int): String = bytes(count).joinToString("") { "%02x".format(it) }

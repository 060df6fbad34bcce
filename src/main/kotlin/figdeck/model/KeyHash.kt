package figdeck.model

import java.security.MessageDigest
import java.util.HexFormat

private const val SHA256_HEX_LENGTH = 64
private val SHA256_HEX = Regex("[0-9a-f]{$SHA256_HEX_LENGTH}")

/** The SHA-256 digest of a caller's API key in lower-case hexadecimal. The key itself is not kept. */
@JvmInline
public value class KeyHash(public val hex: String) {
    init {
        require(SHA256_HEX.matches(hex)) { "a key hash is $SHA256_HEX_LENGTH lower-case hexadecimal digits (SHA-256)" }
    }

    override fun toString(): String = hex
}

/** Hashes [key] as sent by a caller. */
public fun hashKey(key: String): KeyHash {
    val digest = MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray())
    return KeyHash(HexFormat.of().formatHex(digest))
}

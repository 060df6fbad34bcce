package figdeck.store.command

import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.TableTransaction

/** The most rows that a transaction may check and write in all. */
public const val MAX_TRANSACTION_ENTRIES: Int = 100

/** The most bytes of a transaction as it is sent: a megabyte less some for its frame. */
public const val MAX_TRANSACTION_BYTES: Int = 960_000

/** The most bytes around the key and the value of an entry. */
private const val ENTRY_FRAME_BYTES = 120

/** The most bytes of a character of a key, which JSON may escape. */
private const val KEY_CHARACTER_BYTES = 6
private const val BASE64_GROUP_BYTES = 3
private const val BASE64_GROUP_CHARACTERS = 4
private const val ONE_BYTE_LIMIT = 0x80
private const val TWO_BYTE_LIMIT = 0x800
private const val TWO_BYTES = 2
private const val THREE_BYTES = 3

/** The most bytes in which this write is sent; its value is sent in Base64. */
public val RowWrite.sentBytes: Int
    get() {
        val groups = (utf8Bytes(value.orEmpty()) + BASE64_GROUP_BYTES - 1) / BASE64_GROUP_BYTES
        return ENTRY_FRAME_BYTES + key.length * KEY_CHARACTER_BYTES + groups * BASE64_GROUP_CHARACTERS
    }

private val RowCheck.sentBytes: Int get() = ENTRY_FRAME_BYTES + key.length * KEY_CHARACTER_BYTES

/** The most bytes in which this transaction is sent. */
public val TableTransaction.sentBytes: Int
    get() = ENTRY_FRAME_BYTES + checks.sumOf { it.sentBytes } + writes.sumOf { it.sentBytes }

/** Whether the store accepts [transaction] by its size. */
public fun fitsOneTransaction(transaction: TableTransaction): Boolean =
    transaction.checks.size + transaction.writes.size <= MAX_TRANSACTION_ENTRIES &&
        transaction.sentBytes <= MAX_TRANSACTION_BYTES

/** The bytes of [text] in UTF-8, without encoding it. The halves of a surrogate pair count three bytes each. */
internal fun utf8Bytes(text: String): Int = text.sumOf { character ->
    when {
        character.code < ONE_BYTE_LIMIT -> 1
        character.code < TWO_BYTE_LIMIT -> TWO_BYTES
        else -> THREE_BYTES
    }
}

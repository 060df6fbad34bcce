package figdeck.store.command

import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.TableTransaction

/**
 * The operations that change the platform's state. Each call suspends no longer than its deadline.
 *
 * @property commit applies a transaction to the table atomically.
 * @property putObject writes an object under a key and replaces an existing one.
 * @property deleteObject deletes an object; succeeds if the object does not exist.
 */
public data class StoreCommands(
    public val commit: suspend (TableTransaction) -> CallResult<CommitReply>,
    public val putObject: suspend (key: String, bytes: ByteArray) -> CallResult<Unit>,
    public val deleteObject: suspend (key: String) -> CallResult<Unit>,
)

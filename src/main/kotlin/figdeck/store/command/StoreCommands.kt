package figdeck.store.command

import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.TableTransaction

/**
 * What changes the platform's state. Each call suspends until its deadline at most.
 *
 * @property commit applies a transaction of the table whole or not at all.
 * @property putObject writes an object under a key; writing the same key again replaces it.
 * @property deleteObject removes an object; removing one that is absent is done.
 */
public data class StoreCommands(
    public val commit: suspend (TableTransaction) -> CallResult<CommitReply>,
    public val putObject: suspend (key: String, bytes: ByteArray) -> CallResult<Unit>,
    public val deleteObject: suspend (key: String) -> CallResult<Unit>,
)

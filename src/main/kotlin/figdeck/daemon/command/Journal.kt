package figdeck.daemon.command

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.model.ABSENT
import figdeck.model.CallResult
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.model.RequestRecord
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.platform.Platform
import figdeck.wire.encodeRecord
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps what was accepted and how it ended.
 *
 * @property accept returns once the acceptance is durable; a refusal means that it is not and never will be.
 * @property finish returns once the outcome is durable.
 */
public data class Journal(
    public val accept: suspend (RequestRecord) -> Either<Refusal, Unit>,
    public val finish: suspend (RequestRecord) -> Unit,
)

internal fun requestKey(id: RequestId): String = "request/$id"

/** A journal that writes each record by itself. */
internal fun directJournal(platform: Platform): Journal = Journal(
    accept = { record ->
        val key = requestKey(record.id)
        val write = TableTransaction(listOf(RowCheck(key, ABSENT)), listOf(RowWrite(key, encodeRecord(record))))
        when (platform.commands.commit(write)) {
            is CallResult.Done -> Unit.right()
            is CallResult.NotDone -> Refusal.StoreUnavailable(1.seconds).left()
            is CallResult.Unknown -> Refusal.StoreUnavailable(1.seconds).left()
        }
    },
    finish = { record ->
        val write = RowWrite(requestKey(record.id), encodeRecord(record))
        platform.commands.commit(TableTransaction(emptyList(), listOf(write)))
    },
)

package figdeck.wire.query

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import figdeck.model.PeerView
import figdeck.model.Revision
import figdeck.wire.command.decodeChanges
import figdeck.wire.command.encodeChanges
import figdeck.wire.decode
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlin.time.Duration.Companion.milliseconds

@Serializable
private data class PeerViewDto(
    val revision: Long,
    val confirmedMillisAgo: Long? = null,
    val tableInDoubt: Boolean,
    val changes: JsonElement,
)

internal fun encodePeerView(view: PeerView): String {
    // Rounded up so that a confirmation never appears more recent than it is.
    val millisAgo = view.confirmedAgo?.let { it.inWholeMilliseconds + 1 }
    val changes = lenientJson.parseToJsonElement(encodeChanges(view.changes))
    val dto = PeerViewDto(view.revision.value, millisAgo, view.tableInDoubt, changes)
    return lenientJson.encodeToString(PeerViewDto.serializer(), dto)
}

internal fun decodePeerView(text: String): Either<String, PeerView> = either {
    val dto = lenientJson.decode(PeerViewDto.serializer(), text).bind()
    ensure(dto.revision >= 0) { "the revision is negative" }
    PeerView(
        revision = Revision(dto.revision),
        confirmedAgo = dto.confirmedMillisAgo?.coerceAtLeast(0)?.milliseconds,
        tableInDoubt = dto.tableInDoubt,
        changes = decodeChanges(dto.changes.toString()),
    )
}

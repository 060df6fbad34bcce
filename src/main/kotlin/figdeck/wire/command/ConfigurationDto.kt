package figdeck.wire.command

import arrow.core.Either
import arrow.core.raise.either
import figdeck.model.Configuration
import figdeck.model.Fault
import figdeck.model.Revision
import figdeck.wire.decode
import figdeck.wire.lenientJson
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable

@Serializable
internal data class ConfigurationDto(
    val revision: Long,
    val templates: List<TemplateDto>,
)

internal fun encodeConfiguration(configuration: Configuration): String {
    val dto = ConfigurationDto(configuration.revision.value, configuration.templates.values.map { it.toDto() })
    return lenientJson.encodeToString(ConfigurationDto.serializer(), dto)
}

internal fun decodeConfiguration(text: String): Either<List<Fault>, Configuration> = either {
    val dto = lenientJson.decode(ConfigurationDto.serializer(), text)
        .mapLeft { listOf(Fault("", "the stored configuration can't be read: $it")) }
        .bind()
    val templates = dto.templates.map { it.toTemplate().bind() }
    Configuration(Revision(dto.revision), templates.associateBy { it.name }.toPersistentMap())
}

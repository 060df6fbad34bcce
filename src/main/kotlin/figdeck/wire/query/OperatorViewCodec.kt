package figdeck.wire.query

import figdeck.model.Configuration
import figdeck.model.ConfigurationChange
import figdeck.wire.command.HistoryEntryDto
import figdeck.wire.command.toHistoryEntry
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer

@Serializable
internal data class TemplateSummaryDto(
    val name: String,
    val upstreams: Int,
    val models: Int,
    val routes: Int,
    val teams: Int,
)

@Serializable
internal data class TemplateListDto(
    val revision: Long,
    val templates: List<TemplateSummaryDto>,
)

@Serializable
internal data class KeyEntryDto(
    val id: String,
    val team: String,
    val template: String,
)

/** The state of one daemon, as reported to operators. */
@Serializable
internal data class StatusDto(
    val host: String,
    val revision: Long,
    val current: Boolean,
    val confirmedMillisAgo: Long? = null,
    val tableInDoubt: Boolean,
    val draining: Boolean,
    val leaving: List<String>,
)

internal fun encodeTemplateList(configuration: Configuration): String {
    val templates = configuration.templates.values.sortedBy { it.name.value }.map {
        TemplateSummaryDto(it.name.value, it.upstreams.size, it.models.size, it.routes.size, it.teams.size)
    }
    val dto = TemplateListDto(configuration.revision.value, templates)
    return lenientJson.encodeToString(TemplateListDto.serializer(), dto)
}

internal fun encodeKeyList(configuration: Configuration): String {
    val keys = configuration.templates.values.flatMap { template ->
        template.teams.flatMap { team ->
            team.keys.map { KeyEntryDto(it.id.value, team.id.value, template.name.value) }
        }
    }
    return lenientJson.encodeToString(ListSerializer(KeyEntryDto.serializer()), keys.sortedBy { it.id })
}

internal fun encodeHistory(changes: List<ConfigurationChange>): String =
    lenientJson.encodeToString(ListSerializer(HistoryEntryDto.serializer()), changes.map { it.toHistoryEntry() })

internal fun decodeTemplateList(text: String): TemplateListDto =
    lenientJson.decodeFromString(TemplateListDto.serializer(), text)

internal fun decodeKeyList(text: String): List<KeyEntryDto> =
    lenientJson.decodeFromString(ListSerializer(KeyEntryDto.serializer()), text)

internal fun decodeHistory(text: String): List<HistoryEntryDto> =
    lenientJson.decodeFromString(ListSerializer(HistoryEntryDto.serializer()), text)

internal fun decodeStatus(text: String): StatusDto = lenientJson.decodeFromString(StatusDto.serializer(), text)

internal fun encodeStatus(status: StatusDto): String = lenientJson.encodeToString(StatusDto.serializer(), status)

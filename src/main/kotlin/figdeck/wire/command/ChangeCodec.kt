package figdeck.wire.command

import arrow.core.Either
import arrow.core.raise.either
import figdeck.model.ChangeId
import figdeck.model.ConfigurationChange
import figdeck.model.ConfigurationHead
import figdeck.model.Fault
import figdeck.model.ListPatch
import figdeck.model.ModelName
import figdeck.model.OperatorName
import figdeck.model.Revision
import figdeck.model.RouteName
import figdeck.model.TeamId
import figdeck.model.TemplateName
import figdeck.model.TemplatePatch
import figdeck.model.UpstreamId
import figdeck.wire.decode
import figdeck.wire.lenientJson
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlin.time.Duration.Companion.hours

@Serializable
internal data class HeadDto(
    val revision: Long,
    val snapshot: Long,
)

@Serializable
internal data class ChangeDto(
    val id: String,
    val revision: Long,
    val operator: String,
    val atMillis: Long,
    val summary: String,
    val patch: PatchDto,
)

/**
 * The JSON form of a [TemplatePatch].
 *
 * @property put a template with only the list entries that are new or differ; null removes the template.
 */
@Serializable
internal data class PatchDto(
    val template: String,
    val put: TemplateDto? = null,
    val removedUpstreams: List<String> = emptyList(),
    val removedModels: List<String> = emptyList(),
    val removedRoutes: List<String> = emptyList(),
    val removedTeams: List<String> = emptyList(),
)

internal fun encodeConfigurationHead(head: ConfigurationHead): String =
    lenientJson.encodeToString(HeadDto.serializer(), HeadDto(head.revision.value, head.snapshot.value))

internal fun decodeConfigurationHead(text: String): ConfigurationHead {
    val dto = lenientJson.decodeFromString(HeadDto.serializer(), text)
    return ConfigurationHead(Revision(dto.revision), Revision(dto.snapshot))
}

internal fun encodeChange(change: ConfigurationChange): String =
    lenientJson.encodeToString(ChangeDto.serializer(), change.toDto())

internal fun decodeChange(text: String): Either<List<Fault>, ConfigurationChange> = either {
    val dto = lenientJson.decode(ChangeDto.serializer(), text)
        .mapLeft { listOf(Fault("", "the stored change can't be read: $it")) }
        .bind()
    dto.toChange()
}

internal fun encodeChanges(changes: List<ConfigurationChange>): String =
    lenientJson.encodeToString(ListSerializer(ChangeDto.serializer()), changes.map { it.toDto() })

internal fun decodeChanges(text: String): List<ConfigurationChange> =
    lenientJson.decodeFromString(ListSerializer(ChangeDto.serializer()), text).map { it.toChange() }

private fun ConfigurationChange.toDto() = ChangeDto(
    id = id.value,
    revision = revision.value,
    operator = operator.value,
    atMillis = atMillis,
    summary = summary,
    patch = patch.toDto(),
)

private fun ChangeDto.toChange() = ConfigurationChange(
    id = ChangeId(id),
    revision = Revision(revision),
    operator = OperatorName(operator),
    atMillis = atMillis,
    summary = summary,
    patch = patch.toPatch(),
)

private fun TemplatePatch.toDto(): PatchDto = when (this) {
    is TemplatePatch.Remove -> PatchDto(name.value)
    is TemplatePatch.Put -> PatchDto(
        template = name.value,
        put = TemplateDto(
            name = name.value,
            upstreams = upstreams.put.map { it.toDto() },
            models = models.put.map { it.toDto() },
            routes = routes.put.map { it.toDto() },
            teams = teams.put.map { it.toDto() },
            retentionHours = retention.inWholeHours.toInt(),
        ),
        removedUpstreams = upstreams.removed.map { it.value },
        removedModels = models.removed.map { it.value },
        removedRoutes = routes.removed.map { it.value },
        removedTeams = teams.removed.map { it.value },
    )
}

private fun PatchDto.toPatch(): TemplatePatch {
    val name = TemplateName(template)
    if (put == null) {
        return TemplatePatch.Remove(name)
    }
    return TemplatePatch.Put(
        name = name,
        retention = (put.retentionHours ?: 1).hours,
        upstreams = ListPatch(put.upstreams.map { it.toUpstream() }, removedUpstreams.map { UpstreamId(it) }),
        models = ListPatch(put.models.map { it.toModel() }, removedModels.map { ModelName(it) }),
        routes = ListPatch(put.routes.map { it.toRoute() }, removedRoutes.map { RouteName(it) }),
        teams = ListPatch(put.teams.map { it.toTeam() }, removedTeams.map { TeamId(it) }),
    )
}

package figdeck.wire.command

import arrow.core.Either
import arrow.core.flatMap
import figdeck.model.Fault
import figdeck.model.Template
import figdeck.model.TemplateBuilder
import figdeck.model.template
import figdeck.wire.decode
import figdeck.wire.strictJson
import kotlinx.serialization.Serializable

@Serializable
internal data class TemplateDto(
    val name: String,
    val upstreams: List<UpstreamDto> = emptyList(),
    val models: List<ModelPoolDto> = emptyList(),
    val routes: List<RouteDto> = emptyList(),
    val teams: List<TeamDto> = emptyList(),
    val retentionHours: Int? = null,
)

@Serializable
internal data class UpstreamDto(
    val id: String,
    val address: String,
    val dataCentre: String,
    val kind: String = "engine",
    val slots: Int? = null,
    val honoursFencing: Boolean = false,
)

@Serializable
internal data class ModelPoolDto(
    val name: String,
    val upstreams: List<String>,
    val maxTokens: Int? = null,
)

@Serializable
internal data class RouteDto(
    val name: String,
    val upstreams: List<String>,
    val idempotent: Boolean = false,
    val open: Boolean = false,
)

@Serializable
internal data class TeamDto(
    val team: String,
    val keys: List<TeamKeyDto> = emptyList(),
    val ratePerSecond: Double,
    val burst: Int,
    val weight: Int = 1,
    val models: List<String> = emptyList(),
    val routes: List<String> = emptyList(),
)

@Serializable
internal data class TeamKeyDto(
    val id: String,
    val sha256: String,
)

/** Reads a template that operators wrote, or tells every fault. */
internal fun decodeTemplate(text: String): Either<List<Fault>, Template> =
    strictJson.decode(TemplateDto.serializer(), text)
        .mapLeft { listOf(Fault("", "not a template ($it): see the example in docs/OPERATIONS.md")) }
        .flatMap { dto -> template(dto.name) { addAll(dto) } }

internal fun encodeTemplate(template: Template): String =
    strictJson.encodeToString(TemplateDto.serializer(), template.toDto())

internal fun TemplateDto.toTemplate(): Either<List<Fault>, Template> = template(name) { addAll(this@toTemplate) }

private fun TemplateBuilder.addAll(dto: TemplateDto) {
    dto.retentionHours?.let { retentionHours = it }
    dto.upstreams.forEach(::add)
    dto.models.forEach(::add)
    dto.routes.forEach(::add)
    dto.teams.forEach(::add)
}

private fun TemplateBuilder.add(dto: UpstreamDto) = upstream(dto.id) {
    address = dto.address
    dataCentre = dto.dataCentre
    kind = dto.kind
    dto.slots?.let { slots = it }
    honoursFencing = dto.honoursFencing
}

private fun TemplateBuilder.add(dto: ModelPoolDto) = model(dto.name) {
    upstreams = dto.upstreams
    dto.maxTokens?.let { maxTokens = it }
}

private fun TemplateBuilder.add(dto: RouteDto) = route(dto.name) {
    upstreams = dto.upstreams
    idempotent = dto.idempotent
    open = dto.open
}

private fun TemplateBuilder.add(dto: TeamDto) = team(dto.team) {
    ratePerSecond = dto.ratePerSecond
    burst = dto.burst
    weight = dto.weight
    models = dto.models
    routes = dto.routes
    dto.keys.forEach { key(it.id, it.sha256) }
}

internal fun Template.toDto(): TemplateDto = TemplateDto(
    name = name.value,
    upstreams = upstreams.map {
        val kind = it.kind.name.lowercase()
        UpstreamDto(it.id.value, it.address.toString(), it.dataCentre.value, kind, it.slots, it.honoursFencing)
    },
    models = models.map { ModelPoolDto(it.name.value, it.upstreams.map { id -> id.value }, it.maxTokens) },
    routes = routes.map { RouteDto(it.name.value, it.upstreams.map { id -> id.value }, it.idempotent, it.open) },
    teams = teams.map { team ->
        TeamDto(
            team = team.id.value,
            keys = team.keys.map { TeamKeyDto(it.id.value, it.hash.hex) },
            ratePerSecond = team.limit.ratePerSecond,
            burst = team.limit.burst,
            weight = team.weight,
            models = team.models.map { it.value },
            routes = team.routes.map { it.value },
        )
    },
    retentionHours = retention.inWholeHours.toInt(),
)

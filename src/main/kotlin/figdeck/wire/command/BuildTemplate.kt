package figdeck.wire.command

import arrow.core.Either
import figdeck.model.Fault
import figdeck.model.Template
import figdeck.model.TemplateBuilder
import figdeck.model.template

/** Builds the template. Returns all of its faults if values or references are invalid. */
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

package figdeck.wire.command

import figdeck.model.DataCentre
import figdeck.model.KeyHash
import figdeck.model.KeyId
import figdeck.model.Limit
import figdeck.model.ModelName
import figdeck.model.ModelPool
import figdeck.model.Route
import figdeck.model.RouteName
import figdeck.model.Team
import figdeck.model.TeamId
import figdeck.model.TeamKey
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.model.parseAddress

private const val DEFAULT_SLOTS = 8
private const val DEFAULT_MAX_TOKENS = 4096

internal fun Upstream.toDto(): UpstreamDto {
    val kindName = kind.name.lowercase()
    return UpstreamDto(id.value, address.toString(), dataCentre.value, kindName, slots, honoursFencing)
}

internal fun ModelPool.toDto(): ModelPoolDto = ModelPoolDto(name.value, upstreams.map { it.value }, maxTokens)

internal fun Route.toDto(): RouteDto = RouteDto(name.value, upstreams.map { it.value }, idempotent, open)

internal fun Team.toDto(): TeamDto = TeamDto(
    team = id.value,
    keys = keys.map { TeamKeyDto(it.id.value, it.hash.hex) },
    ratePerSecond = limit.ratePerSecond,
    burst = limit.burst,
    weight = weight,
    models = models.map { it.value },
    routes = routes.map { it.value },
)

/** Converts an upstream of a stored change. The values were validated before the change was stored. */
internal fun UpstreamDto.toUpstream(): Upstream = Upstream(
    id = UpstreamId(id),
    address = parseAddress(address),
    dataCentre = DataCentre(dataCentre),
    kind = UpstreamKind.valueOf(kind.uppercase()),
    slots = slots ?: DEFAULT_SLOTS,
    honoursFencing = honoursFencing,
)

/** Converts a model pool of a stored change. */
internal fun ModelPoolDto.toModel(): ModelPool =
    ModelPool(ModelName(name), upstreams.map { UpstreamId(it) }, maxTokens ?: DEFAULT_MAX_TOKENS)

/** Converts a route of a stored change. */
internal fun RouteDto.toRoute(): Route = Route(RouteName(name), upstreams.map { UpstreamId(it) }, idempotent, open)

/** Converts a team of a stored change. */
internal fun TeamDto.toTeam(): Team = Team(
    id = TeamId(team),
    keys = keys.map { TeamKey(KeyId(it.id), KeyHash(it.sha256)) },
    limit = Limit(ratePerSecond, burst),
    weight = weight,
    models = models.map { ModelName(it) }.toSet(),
    routes = routes.map { RouteName(it) }.toSet(),
)

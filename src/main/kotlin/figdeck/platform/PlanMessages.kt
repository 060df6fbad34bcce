package figdeck.platform

import arrow.core.Either
import arrow.core.flatMap
import figdeck.log.PartLog
import figdeck.model.serving.BatchPolicy
import figdeck.model.serving.CallKind
import figdeck.model.serving.ServingPlan
import figdeck.model.serving.ServingPlanBuilder
import figdeck.model.serving.ServingRouteBuilder
import figdeck.model.serving.servingPlan
import figdeck.wire.decode
import figdeck.wire.lenientJson
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = PartLog("platform")

internal const val IDEMPOTENT_KIND = "idempotent"
internal const val STREAM_KIND = "streaming"
internal const val BATCH_KIND = "batch"

/** The configuration that operators write to the store. */
@Serializable
internal data class PlanMessage(
    @SerialName("Version") val version: Long,
    @SerialName("Routes") val routes: List<RouteMessage> = emptyList(),
    @SerialName("Services") val services: List<PoolSettingsMessage> = emptyList(),
    @SerialName("Tenants") val teams: List<TeamMessage> = emptyList(),
    @SerialName("Limits") val limits: LimitsMessage = LimitsMessage(),
)

/** A route: which requests it matches, and the pools that serve them. */
@Serializable
internal data class RouteMessage(
    @SerialName("Name") val name: String = "",
    @SerialName("Host") val host: String = "",
    @SerialName("Prefix") val prefix: String = "/",
    @SerialName("Kind") val kind: String = "",
    /** The only pool of the route; null if the route is split over [pools]. */
    @SerialName("Service") val pool: String? = null,
    @SerialName("Split") val pools: List<PoolMessage> = emptyList(),
    @SerialName("TimeoutMs") val timeoutMillis: Double = 0.0,
    /** The latency objective of an answer; on routes of batch jobs, of the acceptance of a job. */
    @SerialName("TargetLatencyMs") val objectiveMillis: Double = 0.0,
    @SerialName("MaxAttempts") val maxAttempts: Int = 1,
    @SerialName("Priority") val priority: Int = 0,
    @SerialName("Public") val open: Boolean = false,
    @SerialName("Resumable") val resumable: Boolean = false,
    /** The time from the submission of a job until all its results are due. */
    @SerialName("RunTargetMs") val dueMillis: Double = 0.0,
    /** The time from the submission of a job until its items may be given up. */
    @SerialName("MaxWaitS") val abandonSeconds: Double = 0.0,
    /** The maximum number of tokens that a team may have waiting; 0 for no limit. */
    @SerialName("MaxCount") val maxWaitingTokens: Long = 0,
    /** The regions to which requests are confined; empty for no confinement. */
    @SerialName("AllowedRegions") val homes: List<String> = emptyList(),
)

/** The settings of a pool. */
@Serializable
internal data class PoolSettingsMessage(
    @SerialName("Name") val name: String = "",
    @SerialName("ColdS") val coldSeconds: Double = 0.0,
    /** The requests a second that a cold upstream tolerates; 0 if it needs no protection. */
    @SerialName("ColdPerS") val coldPerSecond: Double = 0.0,
    @SerialName("Engine") val engine: EngineMessage? = null,
)

/** The settings of the engines of a pool. */
@Serializable
internal data class EngineMessage(
    /** The number of tokens in one event of a stream. */
    @SerialName("Stride") val tokensPerEvent: Int? = null,
    @SerialName("KvCapacityTokens") val tokenCapacity: Long? = null,
)

/** A pool of a split route, and the weight of its share of the requests. */
@Serializable
internal data class PoolMessage(
    @SerialName("Service") val name: String = "",
    @SerialName("Weight") val weight: Int = 1,
)

/** A team with its keys, priority and rate limit. */
@Serializable
internal data class TeamMessage(
    @SerialName("Name") val name: String = "",
    @SerialName("ApiKeys") val keys: List<String> = emptyList(),
    @SerialName("Priority") val priority: Int? = null,
    @SerialName("RatePerS") val ratePerSecond: Double = 0.0,
    @SerialName("Burst") val burst: Double = 0.0,
    @SerialName("AllowedRegions") val homes: List<String> = emptyList(),
)

/** Limits on the requests of callers. */
@Serializable
internal data class LimitsMessage(
    @SerialName("MaxBodyBytes") val maxBodyBytes: Int? = null,
)

/** Encodes a configuration as operators write it. */
internal fun encodePlan(message: PlanMessage): String = lenientJson.encodeToString(PlanMessage.serializer(), message)

/** Decodes the configuration, or returns why it is invalid. Routes of an unknown kind are skipped. */
internal fun decodePlan(text: String): Either<String, ServingPlan> =
    lenientJson.decode(PlanMessage.serializer(), text).flatMap { message ->
        servingPlan { applyMessage(message) }.mapLeft { faults -> faults.joinToString("; ") }
    }

private fun ServingPlanBuilder.applyMessage(message: PlanMessage) {
    version = message.version
    message.limits.maxBodyBytes?.let { maxBodyBytes = it }
    message.routes.forEach { route ->
        val kind = callKindOf(route)
        if (kind == null) {
            log.warn { "skipping route '${route.name}': unknown kind '${route.kind}'" }
        } else {
            route(route.name) { applyMessage(route, kind) }
        }
    }
    message.services.forEach { service ->
        pool(service.name) {
            coldSeconds = service.coldSeconds
            coldRequestsPerSecond = service.coldPerSecond
            tokensPerEvent = service.engine?.tokensPerEvent ?: 1
            tokenCapacity = service.engine?.tokenCapacity
        }
    }
    message.teams.forEach { team ->
        team(team.name) {
            priority = team.priority
            ratePerSecond = team.ratePerSecond
            burst = team.burst.toInt()
            homes = team.homes
            team.keys.forEach { key(it) }
        }
    }
}

private fun ServingRouteBuilder.applyMessage(message: RouteMessage, callKind: CallKind) {
    host = message.host
    prefix = message.prefix
    kind = callKind
    timeout = message.timeoutMillis.milliseconds
    latencyObjective = message.objectiveMillis.milliseconds
    maxAttempts = message.maxAttempts
    priority = message.priority
    open = message.open
    homes = message.homes
    message.pool?.let { pool(it) }
    message.pools.forEach { pool(it.name, it.weight) }
    if (callKind == CallKind.BATCH) {
        timeout = maxOf(timeout, 1.seconds)
        batch = BatchPolicy(
            dueWithin = message.dueMillis.milliseconds,
            abandonAfter = message.abandonSeconds.seconds,
            maxWaitingTokens = message.maxWaitingTokens.takeIf { it > 0 },
        )
    }
}

private fun callKindOf(route: RouteMessage): CallKind? = when (route.kind) {
    IDEMPOTENT_KIND -> CallKind.IDEMPOTENT
    "non_idempotent" -> CallKind.NON_IDEMPOTENT
    STREAM_KIND -> if (route.resumable) CallKind.RESUMABLE_STREAM else CallKind.STREAM
    BATCH_KIND -> CallKind.BATCH
    else -> null
}

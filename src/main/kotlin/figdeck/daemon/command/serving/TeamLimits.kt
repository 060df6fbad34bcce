package figdeck.daemon.command.serving

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.command.serving.LimitConditions
import figdeck.command.serving.TakeRequest
import figdeck.command.serving.TakeResponse
import figdeck.command.serving.TakeResult
import figdeck.command.serving.markSuspect
import figdeck.command.serving.takeFromFallback
import figdeck.command.serving.takeOwned
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.updateFleet
import figdeck.control.serving.updateLimits
import figdeck.log.DecisionLog
import figdeck.log.PartLog
import figdeck.model.Clock
import figdeck.model.HostId
import figdeck.model.Limit
import figdeck.model.Moment
import figdeck.model.Refusal
import figdeck.model.TeamId
import figdeck.model.serving.Fleet
import figdeck.model.serving.FleetMember
import figdeck.model.serving.ServingTeam
import figdeck.query.serving.BucketLocation
import figdeck.query.serving.bucketLocation
import figdeck.query.serving.estimatedHostCount
import figdeck.query.serving.isCutOff
import figdeck.query.serving.liveMembers
import figdeck.query.serving.ownLeaseHolds
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

private val log = PartLog("limits")

/** How long after its last request a host counts as one that relies on this host. */
private val ASKER_TIMEOUT = 3.seconds

/** Enforces the limits of teams across all hosts. */
internal class TeamLimits(
    private val control: Control<ServingState>,
    private val clock: Clock,
    private val peers: FleetPeers,
    private val decisions: DecisionLog,
) {
    private val lastAskedAt = ConcurrentHashMap<HostId, Moment>()

    /** Takes a token of [team] for the request [id], or refuses the request. */
    suspend fun takeToken(team: ServingTeam, id: String): Either<Refusal, Unit> {
        val limit = team.limit ?: return Unit.right()
        val now = clock()
        val fleet = control.snapshot.fleet
        val isCutOff = fleet.isCutOff(now)
        val place = fleet.bucketLocation(bucketKey(team.id), now)
        val decided = when (place) {
            BucketLocation.Local -> takeFromOwnBucket(team.id, limit, isCutOff)
            BucketLocation.Unreachable -> null
            is BucketLocation.Remote -> askOwner(place.owner, team.id, isCutOff)
        }
        val result = decided ?: takeFromShare(team.id, limit)
        return if (result.taken) {
            Unit.right()
        } else {
            decisions.note("refused", id) {
                put("team", team.id.value)
                put("owner", (place as? BucketLocation.Remote)?.owner?.host?.value ?: "self")
                put("decided_by", if (decided == null) "own part of the limit" else "owner of the bucket")
                put("cut_off", isCutOff)
                put("members_read_ms_ago", fleet.scan?.let { (now - it.sentAt).inWholeMilliseconds } ?: -1)
                put("hosts", fleet.estimatedHostCount().toLong())
                put("wait_ms", result.wait.inWholeMilliseconds)
            }
            Refusal.RateLimited(team.id, result.wait).left()
        }
    }

    /** Takes a token for another host, if this host owns the team's bucket. */
    suspend fun takeTokenForPeer(request: TakeRequest): TakeResponse {
        val now = clock()
        lastAskedAt[request.from] = now
        val fleet = control.snapshot.fleet
        val limit = control.snapshot.index?.teams?.get(request.team)?.limit
        val isHere = fleet.bucketLocation(bucketKey(request.team), now) == BucketLocation.Local
        // While neither host can reach the store, the asking host can't have seen another owner.
        val mayAnswer = isHere && (fleet.ownLeaseHolds(now) || request.isCutOff)
        return if (limit != null && mayAnswer) {
            // Without a successor, also the hosts that don't reach the store rely on this bucket if they ask here.
            val mayHaveSuccessor = fleet.isCutOff(now) || !fleet.ownLeaseHolds(now)
            TakeResponse.Decided(takeFromOwnBucket(request.team, limit, mayHaveSuccessor))
        } else {
            TakeResponse.NotOwner
        }
    }

    private suspend fun askOwner(owner: FleetMember, team: TeamId, isCutOff: Boolean): TakeResult? {
        val request = TakeRequest(control.snapshot.fleet.self.host, team, isCutOff)
        return when (val answer = peers.takeToken(owner.address, request)) {
            is TakeResponse.Decided -> answer.result
            TakeResponse.NotOwner -> null
            null -> {
                log.warn { "host ${owner.host} owns the bucket of team $team and gave no answer in time" }
                control.run { state, now -> updateFleet(state) { markSuspect(it, owner.host, now) } }
                null
            }
        }
    }

    private suspend fun takeFromOwnBucket(team: TeamId, limit: Limit, mayHaveSuccessor: Boolean): TakeResult =
        control.run { state, now ->
            val relying = relyingHosts(state.fleet, mayHaveSuccessor, now)
            val part = (relying.toDouble() / state.fleet.estimatedHostCount()).coerceAtMost(1.0)
            val conditions = LimitConditions(limit, state.fleet.levels[team]?.tokens, part)
            updateLimits(state) { takeOwned(it, team, conditions, now) }
        }

    private suspend fun takeFromShare(team: TeamId, limit: Limit): TakeResult = control.run { state, now ->
        val conditions =
            LimitConditions(limit, state.fleet.levels[team]?.tokens, 1.0 / state.fleet.estimatedHostCount())
        updateLimits(state) { takeFromFallback(it, team, conditions, now) }
    }

    /** The number of hosts that have no other owner: those that reach the store, and those that ask this host. */
    private fun relyingHosts(fleet: Fleet, mayHaveSuccessor: Boolean, now: Moment): Int {
        val live = if (mayHaveSuccessor) listOf(fleet.self) else fleet.liveMembers()
        return live.size + lastAskedAt.count { (host, at) -> now - at < ASKER_TIMEOUT && live.none { it.host == host } }
    }
}

private fun bucketKey(team: TeamId): String = "limit/$team"

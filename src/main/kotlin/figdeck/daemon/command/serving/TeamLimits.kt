package figdeck.daemon.command.serving

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.command.serving.TakeAnswer
import figdeck.command.serving.TakeResult
import figdeck.command.serving.suspect
import figdeck.command.serving.takeOwned
import figdeck.command.serving.takeShare
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.onFleet
import figdeck.control.serving.onLimits
import figdeck.log.PartLog
import figdeck.model.Clock
import figdeck.model.Limit
import figdeck.model.Refusal
import figdeck.model.TeamId
import figdeck.model.serving.FleetMember
import figdeck.model.serving.ServingTeam
import figdeck.query.serving.BucketPlace
import figdeck.query.serving.bucketPlace
import figdeck.query.serving.livingMembers

private val log = PartLog("limits")

/** The limits of teams across all hosts. */
internal class TeamLimits(
    private val control: Control<ServingState>,
    private val clock: Clock,
    private val peers: FleetPeers,
) {
    /** Takes a token of [team], or refuses. */
    suspend fun take(team: ServingTeam): Either<Refusal, Unit> {
        val limit = team.limit ?: return Unit.right()
        val result = when (val place = placeOf(team.id)) {
            BucketPlace.Here -> takeHere(team.id, limit)
            BucketPlace.Unreachable -> takePart(team.id, limit)
            is BucketPlace.Elsewhere -> ask(place.owner, team.id) ?: takePart(team.id, limit)
        }
        return if (result.taken) Unit.right() else Refusal.OverRate(team.id, result.wait).left()
    }

    /** Takes a token for another host. */
    suspend fun takeFor(team: TeamId): TakeAnswer {
        val limit = control.snapshot.index?.teams?.get(team)?.limit
        val isHere = limit != null && placeOf(team) == BucketPlace.Here
        return if (isHere) TakeAnswer.Decided(takeHere(team, limit)) else TakeAnswer.NotOwner
    }

    private suspend fun ask(owner: FleetMember, team: TeamId): TakeResult? =
        when (val answer = peers.take(owner.address, team)) {
            is TakeAnswer.Decided -> answer.result
            TakeAnswer.NotOwner -> null
            null -> {
                log.warn { "host ${owner.host} keeps the limit of team $team and gave no answer in time" }
                control.run { state, now -> onFleet(state) { suspect(it, owner.host, now) } }
                null
            }
        }

    private fun placeOf(team: TeamId): BucketPlace = control.snapshot.fleet.bucketPlace("limit/$team", clock())

    private suspend fun takeHere(team: TeamId, limit: Limit): TakeResult =
        control.run { state, now -> onLimits(state) { takeOwned(it, team, limit, now) } }

    private suspend fun takePart(team: TeamId, limit: Limit): TakeResult = control.run { state, now ->
        val members = state.fleet.livingMembers().size
        onLimits(state) { takeShare(it, team, limit, members, now) }
    }
}

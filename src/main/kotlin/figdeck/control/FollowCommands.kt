package figdeck.control

import figdeck.command.Step
import figdeck.command.template.after
import figdeck.model.ConfigurationChange
import figdeck.model.ListedHost
import figdeck.model.Moment
import figdeck.model.PeerView
import figdeck.model.Revision
import figdeck.model.Upstream
import figdeck.query.assessPeers
import figdeck.query.indexOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet

private const val MAX_RECENT = 64

/** Applies those of [changes] that follow the present revision without a gap; the result is the new revision. */
internal fun applyChanges(state: ControlState, changes: List<ConfigurationChange>): Step<ControlState, Revision> {
    val next = changes.sortedBy { it.revision }.fold(state.configuration) { configuration, change ->
        if (change.revision == configuration.revision.next()) configuration.after(change) else configuration
    }
    if (next.revision == state.configuration.revision) {
        return Step(state, next.revision)
    }
    val applied = changes.filter { it.revision > state.configuration.revision && it.revision <= next.revision }
    val recent = (state.follow.recent + applied.sortedBy { it.revision }).takeLast(MAX_RECENT).toPersistentList()
    val followed = state.copy(
        configuration = next,
        index = indexOf(next),
        follow = state.follow.copy(recent = recent),
    )
    return Step(withoutRemovedUpstreams(followed), next.revision)
}

/** Records that [revision] was the newest one when a query was sent at [askedAt]. */
internal fun confirmRevision(state: ControlState, revision: Revision, askedAt: Moment): Step<ControlState, Unit> {
    val before = state.confirmedAt
    val newer = before == null || before < askedAt
    val confirmed = state.configuration.revision == revision && newer
    return Step(if (confirmed) state.copy(confirmedAt = askedAt) else state, Unit)
}

/** Records whether the table is [inDoubt], because the latest query to it failed or is late. */
internal fun recordTableState(state: ControlState, inDoubt: Boolean): Step<ControlState, Unit> =
    Step(state.copy(follow = state.follow.copy(tableInDoubt = inDoubt)), Unit)

/** Applies the [answers] to a query that was sent to [peerCount] peers at [askedAt]. */
internal fun applyPeerViews(
    state: ControlState,
    peerCount: Int,
    answers: List<PeerView>,
    askedAt: Moment,
): Step<ControlState, Unit> {
    val caughtUp = applyChanges(state, answers.flatMap { it.changes }.distinctBy { it.revision }).state
    val assessment = assessPeers(caughtUp.configuration.revision, peerCount, answers)
    val confirmed = assessment.confirmedAgo
        ?.let { confirmRevision(caughtUp, caughtUp.configuration.revision, askedAt + -it).state }
        ?: caughtUp
    val agreedAt = if (assessment.outageAgreed && state.follow.tableInDoubt) askedAt else state.follow.outageAgreedAt
    return Step(confirmed.copy(follow = confirmed.follow.copy(outageAgreedAt = agreedAt)), Unit)
}

/** Records which upstreams are leaving according to the hosts list. */
internal fun recordLeavingUpstreams(state: ControlState, hosts: List<ListedHost>): Step<ControlState, Unit> {
    val leavingHosts = hosts.filter { it.leaving }
    val leaving = state.index.upstreams.values.filter { it.isAmong(leavingHosts) }.map { it.id }
    return Step(state.copy(follow = state.follow.copy(leaving = leaving.toPersistentSet())), Unit)
}

/** The answer of this daemon to a peer that is at revision [since]. */
internal fun peerView(state: ControlState, since: Revision, now: Moment): PeerView = PeerView(
    revision = state.configuration.revision,
    confirmedAgo = state.confirmedAt?.let { now - it },
    tableInDoubt = state.follow.tableInDoubt,
    changes = state.follow.recent.filter { it.revision > since },
)

private fun Upstream.isAmong(hosts: List<ListedHost>): Boolean =
    hosts.any { it.name == id.value || it.address == address }

private fun withoutRemovedUpstreams(state: ControlState): ControlState {
    val leaving = state.follow.leaving.filter { it in state.index.upstreams }.toPersistentSet()
    return state.copy(follow = state.follow.copy(leaving = leaving))
}

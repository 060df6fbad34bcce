package figdeck.query

import figdeck.model.Moment
import figdeck.model.PeerView
import figdeck.model.Revision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How long after a question was sent its answer still counts as current. */
public val MAX_CONFIRMATION_AGE: Duration = 2_500.milliseconds

/**
 * What the answers of peers are worth.
 *
 * @property confirmedAgo how long before the question the table confirmed the revision, at best; null if unknown.
 * @property outageAgreed whether a majority of the known hosts can't reach the table either and none knows better.
 */
public data class PeerAssessment(
    public val confirmedAgo: Duration?,
    public val outageAgreed: Boolean,
)

/** Weighs [answers] of the [peers] known besides this host, whose configuration is at [ours]. */
public fun assessPeers(ours: Revision, peers: Int, answers: List<PeerView>): PeerAssessment {
    val confirmations = answers.filter { it.revision == ours }.mapNotNull { it.confirmedAgo }
    val agreeing = answers.count { it.tableInDoubt && it.revision <= ours } + 1
    val known = peers + 1
    val contradicted = answers.any { it.revision > ours || !it.tableInDoubt }
    return PeerAssessment(confirmations.minOrNull(), !contradicted && agreeing > known / 2)
}

/** Whether what was known at [confirmedAt] or agreed at [outageAgreedAt] still holds [now]. */
public fun isCurrent(confirmedAt: Moment?, outageAgreedAt: Moment?, now: Moment): Boolean =
    listOfNotNull(confirmedAt, outageAgreedAt.takeIf { confirmedAt != null }).any { now - it < MAX_CONFIRMATION_AGE }

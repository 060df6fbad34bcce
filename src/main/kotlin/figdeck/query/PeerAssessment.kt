package figdeck.query

import figdeck.model.Moment
import figdeck.model.PeerView
import figdeck.model.Revision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How long a confirmation counts as current, from the time its request was sent. */
public val MAX_CONFIRMATION_AGE: Duration = 2_500.milliseconds

/**
 * What the answers of peers show about this host's configuration and about the table.
 *
 * @property confirmedAgo the age of the latest confirmation of this host's revision by the table; null if unknown.
 * @property outageAgreed whether a majority of the known hosts, including this one, can't reach the table, and no peer
 * reaches it or knows a newer revision.
 */
public data class PeerAssessment(
    public val confirmedAgo: Duration?,
    public val outageAgreed: Boolean,
)

/** Assesses the [answers] from [peerCount], the number of other known hosts; this host is at revision [ownRevision]. */
public fun assessPeers(ownRevision: Revision, peerCount: Int, answers: List<PeerView>): PeerAssessment {
    val confirmations = answers.filter { it.revision == ownRevision }.mapNotNull { it.confirmedAgo }
    val agreeing = answers.count { it.tableInDoubt && it.revision <= ownRevision } + 1
    val knownHosts = peerCount + 1
    val contradicted = answers.any { it.revision > ownRevision || !it.tableInDoubt }
    return PeerAssessment(confirmations.minOrNull(), !contradicted && agreeing > knownHosts / 2)
}

/**
 * Whether the configuration is current at [now]: the table confirmed it at [confirmedAt], or an outage was agreed at
 * [outageAgreedAt] and the configuration had been confirmed before.
 */
public fun isCurrent(confirmedAt: Moment?, outageAgreedAt: Moment?, now: Moment): Boolean =
    listOfNotNull(confirmedAt, outageAgreedAt.takeIf { confirmedAt != null }).any { now - it < MAX_CONFIRMATION_AGE }

package figdeck.model

import kotlin.time.Duration

/**
 * The configuration as seen by another daemon, taken from its reply.
 *
 * @property confirmedAgo how long ago it sent the read that confirmed [revision] as the newest; null if there was none.
 * @property tableInDoubt whether its latest read of the platform's table failed or is overdue.
 * @property changes the changes after the revision given in the request, as far as the daemon still has them.
 */
public data class PeerView(
    public val revision: Revision,
    public val confirmedAgo: Duration?,
    public val tableInDoubt: Boolean,
    public val changes: List<ConfigurationChange>,
)

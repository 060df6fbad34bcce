package figdeck.model

import kotlin.time.Duration

/**
 * What another daemon knows of the configuration, as it answers.
 *
 * @property confirmedAgo how long ago it asked the question that showed [revision] to be the newest; null if never.
 * @property tableInDoubt whether its latest question to the platform's table failed or is late.
 * @property changes the changes after the revision that was asked about, as far as it still has them.
 */
public data class PeerView(
    public val revision: Revision,
    public val confirmedAgo: Duration?,
    public val tableInDoubt: Boolean,
    public val changes: List<ConfigurationChange>,
)

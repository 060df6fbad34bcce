package figdeck.model

/**
 * The host that may write to a journal: the host the journal belongs to, or the host that took it over.
 *
 * @property incarnation unique for each claim, so that a host whose claim got no reply can read the row back and see
 * whether the claim succeeded.
 */
public data class JournalOwner(
    public val host: HostId,
    public val incarnation: String,
)

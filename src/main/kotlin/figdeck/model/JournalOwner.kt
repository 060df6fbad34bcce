package figdeck.model

/**
 * Who may write the journal of a host: the host itself, or the host that took it over.
 *
 * @property incarnation differs for each claim, so that a claim whose reply was lost can be told by reading it back.
 */
public data class JournalOwner(
    public val host: HostId,
    public val incarnation: String,
)

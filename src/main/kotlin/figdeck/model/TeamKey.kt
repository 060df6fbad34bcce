package figdeck.model

/** An API key of a team, stored as its hash. */
public data class TeamKey(
    public val id: KeyId,
    public val hash: KeyHash,
)

package figdeck.model

/** A key that a team may show, known by its hash. */
public data class TeamKey(
    public val id: KeyId,
    public val hash: KeyHash,
)

package figdeck.model

/** An entry of the platform's hosts list, which lags: a hint, never a proof of life or death. */
public data class ListedHost(
    public val name: String,
    public val address: Address,
    public val dataCentre: DataCentre,
    public val leaving: Boolean,
)

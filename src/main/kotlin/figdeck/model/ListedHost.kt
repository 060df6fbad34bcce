package figdeck.model

/** An entry of the platform's hosts list. The list lags and never proves that a host is up or down. */
public data class ListedHost(
    public val name: String,
    public val address: Address,
    public val dataCentre: DataCentre,
    public val leaving: Boolean,
)

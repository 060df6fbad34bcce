package figdeck.upstream.command

/** The complete response of a plain service. */
public data class ServiceResponse(
    public val status: Int,
    public val contentType: String,
    public val body: String,
)

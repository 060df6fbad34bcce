package figdeck.model.serving

/**
 * The work that a generation is expected to cause.
 *
 * @property promptTokens the tokens of its prompt.
 * @property outputTokens the mean of the tokens of its output.
 * @property upperOutputTokens the 0.9 quantile of the tokens of its output.
 */
public data class ExpectedWork(
    public val promptTokens: Int,
    public val outputTokens: Int,
    public val upperOutputTokens: Int,
)

/** The tokens that the work is charged before it runs. */
public val ExpectedWork.tokens: Int get() = promptTokens + outputTokens

package figdeck.upstream.command

import figdeck.model.RequestId
import figdeck.model.Upstream
import figdeck.model.Work

/**
 * One generation to run at an engine.
 *
 * @property generated what earlier attempts of the same request generated; the engine resumes after it.
 */
public data class Generation(
    public val upstream: Upstream,
    public val request: RequestId,
    public val chat: Work.Chat,
    public val generated: String,
)

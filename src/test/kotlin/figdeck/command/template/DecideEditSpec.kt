package figdeck.command.template

import arrow.core.left
import arrow.core.right
import figdeck.model.ChangeId
import figdeck.model.Configuration
import figdeck.model.ConfigurationChange
import figdeck.model.Fault
import figdeck.model.KeyHash
import figdeck.model.KeyId
import figdeck.model.ListPatch
import figdeck.model.OperatorName
import figdeck.model.Revision
import figdeck.model.TeamId
import figdeck.model.TeamKey
import figdeck.model.Template
import figdeck.model.TemplateBuilder
import figdeck.model.TemplateEdit
import figdeck.model.TemplateName
import figdeck.model.TemplatePatch
import figdeck.model.emptyConfiguration
import figdeck.model.hashKey
import figdeck.model.template
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private fun built(name: String, block: TemplateBuilder.() -> Unit): Template =
    template(name, block).fold({ error(it.joinToString()) }, { it })

private fun TemplateBuilder.engine(id: String) = upstream(id) {
    address = "10.0.0.1:8000"
    dataCentre = "brno"
}

private fun TemplateBuilder.teamOf(id: String, key: String) = team(id) {
    key("desk", hashKey(key).hex)
    models = listOf("walks")
}

private val evening = built("evening") {
    engine("engine-1")
    model("walks") { upstreams = listOf("engine-1") }
    teamOf("stado", "one")
}

private fun Configuration.with(edit: TemplateEdit): Configuration {
    val patch = decideEdit(this, edit, revision).fold({ error(it.toString()) }, { it })
    return after(change(revision.next(), patch))
}

private fun change(revision: Revision, patch: TemplatePatch) =
    ConfigurationChange(ChangeId("c"), revision, OperatorName("jana"), 0, "", patch)

private fun refused(vararg faults: Fault) = EditRefusal.Faulty(faults.toList()).left()

class DecideEditSpec : DescribeSpec({
    val present = emptyConfiguration.with(TemplateEdit.Apply(evening))

    describe("an applied template") {
        it("is in force at the next revision") {
            present shouldBe Configuration(Revision(1), emptyConfiguration.templates.put(evening.name, evening))
        }

        it("yields a patch with only the differences to the template in force") {
            val reweighted = evening.copy(teams = evening.teams.map { it.copy(weight = 3) }, models = emptyList())
            decideEdit(present, TemplateEdit.Apply(reweighted), null) shouldBe TemplatePatch.Put(
                name = evening.name,
                retention = evening.retention,
                models = ListPatch(removed = evening.models.map { it.name }),
                teams = ListPatch(put = reweighted.teams),
            ).right()
            present.with(TemplateEdit.Apply(reweighted)).templates[evening.name] shouldBe reweighted
        }

        it("is refused as a whole if it repeats names and keys of another template, with the path of each fault") {
            val rival = built("rival") {
                engine("engine-1")
                model("walks") { upstreams = listOf("engine-1") }
                teamOf("stado", "two")
                teamOf("kurnimaja", "one")
            }
            decideEdit(present, TemplateEdit.Apply(rival), null) shouldBe refused(
                Fault("upstreams[0]", "'engine-1' stands in template 'evening' too: keep it in one of them"),
                Fault("models[0]", "'walks' stands in template 'evening' too: keep it in one of them"),
                Fault("teams[0]", "'stado' stands in template 'evening' too: keep it in one of them"),
                Fault("teams[1].keys[0].sha256", "team 'stado' has this key already: give each key to one team"),
            )
        }

        it("is refused if it makes the configuration too large") {
            val many = evening.copy(teams = List(50_001) { evening.teams[0].copy(TeamId("t$it"), emptyList()) })
            decideEdit(present, TemplateEdit.Apply(many), null) shouldBe
                refused(Fault("teams", "the configuration would have 50001 teams: keep at most 50000"))
        }

        it("is refused with a conflict if it was made for another revision") {
            decideEdit(present, TemplateEdit.Apply(evening), Revision(0)) shouldBe
                EditRefusal.Conflict(Revision(1)).left()
        }
    }

    describe("a removed template") {
        it("is absent at the next revision") {
            present.with(TemplateEdit.Remove(evening.name)) shouldBe emptyConfiguration.copy(revision = Revision(2))
        }

        it("must be in force") {
            decideEdit(present, TemplateEdit.Remove(TemplateName("noon")), null) shouldBe
                refused(Fault("name", "no template 'noon' is in force: see 'figdeck template show'"))
        }
    }

    describe("a key") {
        val spare = TeamKey(KeyId("spare"), hashKey("spare"))
        val granted = present.with(TemplateEdit.GrantKey(TeamId("stado"), spare))

        it("is granted by a change to one team") {
            granted.templates.getValue(evening.name).teams[0].keys.map { it.id.value } shouldBe listOf("desk", "spare")
            granted.revision shouldBe Revision(2)
        }

        it("is not granted twice, under an id in use or to an unknown team") {
            val again = TemplateEdit.GrantKey(TeamId("stado"), TeamKey(KeyId("other"), spare.hash))
            decideEdit(granted, again, null) shouldBe
                refused(Fault("sha256", "team 'stado' has this key already: make a new key"))
            val sameId = TemplateEdit.GrantKey(TeamId("stado"), TeamKey(KeyId("spare"), KeyHash("0".repeat(64))))
            decideEdit(granted, sameId, null) shouldBe
                refused(Fault("id", "team 'stado' has a key 'spare' already: choose another id"))
            decideEdit(granted, TemplateEdit.GrantKey(TeamId("nobody"), spare), null) shouldBe
                refused(Fault("team", "no template has team 'nobody': apply one that does"))
        }

        it("is withdrawn by its id") {
            granted.with(TemplateEdit.WithdrawKey(KeyId("spare"), null)).templates shouldBe present.templates
            decideEdit(granted, TemplateEdit.WithdrawKey(KeyId("lost"), null), null) shouldBe
                refused(Fault("key", "no team has a key 'lost': see 'figdeck key list'"))
        }

        it("is withdrawn only with its team given, if two teams have a key of that id") {
            val noon = built("noon") { team("kurnimaja") { key("desk", hashKey("noon").hex) } }
            val both = present.with(TemplateEdit.Apply(noon))
            decideEdit(both, TemplateEdit.WithdrawKey(KeyId("desk"), null), null) shouldBe refused(
                Fault("key", "several teams have a key 'desk' (stado, kurnimaja): name one with --team"),
            )
            both.with(TemplateEdit.WithdrawKey(KeyId("desk"), TeamId("kurnimaja")))
                .templates.getValue(noon.name).teams[0].keys shouldBe emptyList()
        }
    }

    describe("a change whose revision is not the next one") {
        it("is never applied") {
            val late = change(Revision(5), TemplatePatch.Remove(evening.name))
            shouldThrow<IllegalArgumentException> { present.after(late) }.message shouldBe
                "change 5 doesn't follow revision 1"
        }
    }
})

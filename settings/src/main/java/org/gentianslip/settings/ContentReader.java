package org.gentianslip.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.ModelId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;

/**
 * Reads the declarations of documents and reports errors that show without other declarations.
 *
 * <p>An invalid declaration is left out of the content, so that one error gives one finding.
 * Confined to one thread.
 */
final class ContentReader {

  private static final int MAX_ONE_WAY_MILLIS = 60_000;
  private static final int MAX_MEGABITS_PER_SECOND = 10_000_000;
  private static final int MAX_QUOTED_KEY_CHARACTERS = 4;
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern ID = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

  private static final List<String> DOCUMENT_KEYS =
      List.of("regions", "links", "models", "services", "customers", "branches");
  private static final List<String> SETTING_NAMES =
      SettingCatalog.all().stream().map(Setting::name).toList();

  private final SettingsContent content;
  private final FindingCollector findings;

  ContentReader(SettingsContent content, FindingCollector findings) {
    this.content = content;
    this.findings = findings;
  }

  /** Reads the declarations of one document. */
  void read(Located<JsonNode> document) {
    Optional<ObjectFields> fields = ObjectFields.of(document, findings, DOCUMENT_KEYS);
    if (fields.isEmpty()) {
      return;
    }
    fields.get().list("regions").forEach(this::readRegion);
    fields.get().list("links").forEach(this::readLink);
    fields.get().texts("models").forEach(this::readModel);
    fields.get().list("services").forEach(this::readService);
    fields.get().list("customers").forEach(this::readCustomer);
    fields.get().list("branches").forEach(this::readBranch);
  }

  private void readRegion(Located<JsonNode> node) {
    Optional<ObjectFields> fields = ObjectFields.of(node, findings, List.of("id", "dataCentres"));
    if (fields.isEmpty()) {
      return;
    }
    Optional<RegionId> id = fields.get().id("id", RegionId::of);
    List<DataCentreId> dataCentres =
        fields.get().texts("dataCentres").stream()
            .flatMap(t -> ObjectFields.parseId(t, DataCentreId::of, findings).stream())
            .toList();
    id.ifPresent(
        i -> content.regions.add(new Located<>(node.location(), new Region(i, dataCentres))));
  }

  private void readLink(Located<JsonNode> node) {
    Optional<ObjectFields> fields =
        ObjectFields.of(node, findings, List.of("between", "oneWayMillis", "megabitsPerSecond"));
    if (fields.isEmpty()) {
      return;
    }
    Optional<Integer> oneWayMillis =
        fields.get().wholeNumber("oneWayMillis", 0, MAX_ONE_WAY_MILLIS);
    Optional<Integer> megabitsPerSecond =
        fields.get().wholeNumber("megabitsPerSecond", 1, MAX_MEGABITS_PER_SECOND);
    List<Located<String>> regions = fields.get().texts("between");
    if (regions.size() != 2 || regions.get(0).value().equals(regions.get(1).value())) {
      findings.add(
          node.location().at("between"),
          "between must name two different regions, but names "
              + regions.stream().map(Located::value).toList());
      return;
    }
    Optional<RegionId> first = ObjectFields.parseId(regions.get(0), RegionId::of, findings);
    Optional<RegionId> second = ObjectFields.parseId(regions.get(1), RegionId::of, findings);
    if (first.isPresent()
        && second.isPresent()
        && oneWayMillis.isPresent()
        && megabitsPerSecond.isPresent()) {
      var link =
          new RegionLink(first.get(), second.get(), oneWayMillis.get(), megabitsPerSecond.get());
      content.links.add(new Located<>(node.location(), link));
    }
  }

  private void readModel(Located<String> text) {
    ObjectFields.parseId(text, ModelId::of, findings)
        .ifPresent(m -> content.models.add(new Located<>(text.location(), m)));
  }

  private void readService(Located<JsonNode> node) {
    Optional<ObjectFields> fields =
        ObjectFields.of(node, findings, List.of("id", "idempotentPaths"));
    if (fields.isEmpty()) {
      return;
    }
    Optional<ServiceId> id = fields.get().id("id", ServiceId::of);
    var paths = new LinkedHashSet<String>();
    for (Located<String> path : fields.get().texts("idempotentPaths")) {
      if (path.value().startsWith("/") && !path.value().contains("?")) {
        paths.add(path.value());
      } else {
        findings.add(
            path.location(),
            "A path must begin with \"/\" and have no query, but is " + Excerpt.of(path.value()));
      }
    }
    id.ifPresent(i -> content.services.add(new Located<>(node.location(), new Service(i, paths))));
  }

  private void readCustomer(Located<JsonNode> node) {
    Optional<ObjectFields> fields =
        ObjectFields.of(node, findings, List.of("id", "firm", "keySha256"));
    if (fields.isEmpty()) {
      return;
    }
    Optional<CustomerId> id = fields.get().id("id", CustomerId::of);
    Optional<String> firm = fields.get().text("firm");
    Optional<String> key = fields.get().text("keySha256");
    if (key.isPresent() && !SHA256.matcher(key.get()).matches()) {
      findings.add(node.location().at("keySha256"), invalidHashMessage(key.get()));
    }
    if (id.isPresent()) {
      var customer = new Customer(id.get(), firm.orElse(""), key.orElse(""));
      content.customers.add(new Located<>(node.location(), customer));
    }
  }

  /** Quotes only the first characters, since the text may be an API key given by mistake. */
  private static String invalidHashMessage(String text) {
    String start = text.substring(0, Math.min(MAX_QUOTED_KEY_CHARACTERS, text.length()));
    return String.format(
        "keySha256 must be 64 lower-case hexadecimal digits, but has %d characters and begins"
            + " with %s",
        text.length(), Excerpt.of(start));
  }

  private void readBranch(Located<JsonNode> node) {
    Optional<ObjectFields> fields =
        ObjectFields.of(node, findings, List.of("id", "parent", "level", "name", "values"));
    if (fields.isEmpty()) {
      return;
    }
    Optional<String> id = fields.get().id("id", ContentReader::requireId);
    Optional<String> parent =
        fields.get().has("parent") ? fields.get().text("parent") : Optional.empty();
    Optional<BranchLevel> level = readLevel(fields.get());
    Optional<String> name = fields.get().id("name", ContentReader::requireId);
    Map<Setting<?>, Located<Object>> values =
        fields.get().member("values").map(this::readValues).orElse(Map.of());
    if (id.isPresent() && level.isPresent() && name.isPresent()) {
      content.branches.add(
          new BranchDeclaration(
              node.location(), id.get(), parent, level.get(), name.get(), values));
    } else {
      id.ifPresent(content.faultyBranches::add);
      name.ifPresent(content.faultyBranches::add);
    }
  }

  private static String requireId(String text) {
    if (!ID.matcher(text).matches()) {
      throw new IllegalArgumentException("The id is not valid: " + Excerpt.of(text));
    }
    return text;
  }

  private Optional<BranchLevel> readLevel(ObjectFields fields) {
    Optional<String> text = fields.text("level");
    Optional<BranchLevel> level = text.flatMap(BranchLevel::find);
    if (text.isPresent() && level.isEmpty()) {
      findings.add(
          fields.location().at("level"),
          "level must be one of \"firm\", \"region\", \"kind\", \"customer\", but is "
              + Excerpt.of(text.get()));
    }
    return level;
  }

  private Map<Setting<?>, Located<Object>> readValues(Located<JsonNode> node) {
    var values = new LinkedHashMap<Setting<?>, Located<Object>>();
    if (!node.value().isObject()) {
      findings.add(node.location(), "values must be an object, but is " + Excerpt.of(node.value()));
      return values;
    }
    for (Map.Entry<String, JsonNode> member : node.value().properties()) {
      Location location = node.location().at(member.getKey());
      Optional<Setting<?>> setting = SettingCatalog.find(member.getKey());
      if (setting.isEmpty()) {
        findings.addUnknown(location, "setting", member.getKey(), SETTING_NAMES);
        continue;
      }
      try {
        Object value = setting.get().read(member.getValue());
        values.put(setting.get(), new Located<>(location, value));
      } catch (IllegalArgumentException e) {
        findings.add(location, e.getMessage());
      }
    }
    return values;
  }
}

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
 * Reads what the documents declare and finds faults that show without a look at other parts.
 *
 * <p>What has a fault of its own is left out of the content, so that one fault gives one finding.
 * Used by one thread.
 */
final class ContentReader {

  private static final int MAX_ONE_WAY_MILLIS = 60_000;
  private static final int MAX_MEGABITS_PER_SECOND = 10_000_000;
  private static final int QUOTED_KEY_CHARACTERS = 4;
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern ID = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

  private static final List<String> PART_KEYS =
      List.of("regions", "links", "models", "services", "customers", "branches");
  private static final List<String> SETTING_NAMES =
      SettingCatalog.all().stream().map(Setting::name).toList();

  private final SettingsContent content;
  private final FindingCollector findings;

  ContentReader(SettingsContent content, FindingCollector findings) {
    this.content = content;
    this.findings = findings;
  }

  /** Reads one part of the settings. */
  void read(Located<JsonNode> part) {
    Optional<ObjectFields> fields = ObjectFields.of(part, findings, PART_KEYS);
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
            .flatMap(t -> ObjectFields.readId(t, DataCentreId::of, findings).stream())
            .toList();
    id.ifPresent(i -> content.regions.add(new Located<>(node.place(), new Region(i, dataCentres))));
  }

  private void readLink(Located<JsonNode> node) {
    Optional<ObjectFields> fields =
        ObjectFields.of(node, findings, List.of("between", "oneWayMillis", "megabitsPerSecond"));
    if (fields.isEmpty()) {
      return;
    }
    Optional<Integer> oneWay = fields.get().wholeNumber("oneWayMillis", 0, MAX_ONE_WAY_MILLIS);
    Optional<Integer> capacity =
        fields.get().wholeNumber("megabitsPerSecond", 1, MAX_MEGABITS_PER_SECOND);
    List<Located<String>> ends = fields.get().texts("between");
    if (ends.size() != 2 || ends.get(0).value().equals(ends.get(1).value())) {
      findings.add(
          node.place().at("between"),
          "between must name two different regions, but names "
              + ends.stream().map(Located::value).toList());
      return;
    }
    Optional<RegionId> first = ObjectFields.readId(ends.get(0), RegionId::of, findings);
    Optional<RegionId> second = ObjectFields.readId(ends.get(1), RegionId::of, findings);
    if (first.isPresent() && second.isPresent() && oneWay.isPresent() && capacity.isPresent()) {
      var link = new RegionLink(first.get(), second.get(), oneWay.get(), capacity.get());
      content.links.add(new Located<>(node.place(), link));
    }
  }

  private void readModel(Located<String> text) {
    ObjectFields.readId(text, ModelId::of, findings)
        .ifPresent(m -> content.models.add(new Located<>(text.place(), m)));
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
            path.place(),
            "A path must begin with \"/\" and have no query, but is " + Excerpt.of(path.value()));
      }
    }
    id.ifPresent(i -> content.services.add(new Located<>(node.place(), new Service(i, paths))));
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
      findings.add(node.place().at("keySha256"), badHash(key.get()));
    }
    if (id.isPresent()) {
      var customer = new Customer(id.get(), firm.orElse(""), key.orElse(""));
      content.customers.add(new Located<>(node.place(), customer));
    }
  }

  /** Quotes the first characters only, since the text may be a key by mistake. */
  private static String badHash(String text) {
    String start = text.substring(0, Math.min(QUOTED_KEY_CHARACTERS, text.length()));
    return String.format(
        "keySha256 must be 64 lower-case hexadecimal digits, but has %d characters from %s on",
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
          new BranchDeclaration(node.place(), id.get(), parent, level.get(), name.get(), values));
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
          fields.place().at("level"),
          "level must be one of \"firm\", \"region\", \"kind\", \"customer\", but is "
              + Excerpt.of(text.get()));
    }
    return level;
  }

  private Map<Setting<?>, Located<Object>> readValues(Located<JsonNode> node) {
    var values = new LinkedHashMap<Setting<?>, Located<Object>>();
    if (!node.value().isObject()) {
      findings.add(node.place(), "values must be an object, but is " + Excerpt.of(node.value()));
      return values;
    }
    for (Map.Entry<String, JsonNode> member : node.value().properties()) {
      Place place = node.place().at(member.getKey());
      Optional<Setting<?>> setting = SettingCatalog.find(member.getKey());
      if (setting.isEmpty()) {
        findings.addUnknown(place, "setting", member.getKey(), SETTING_NAMES);
        continue;
      }
      try {
        Object value = setting.get().read(member.getValue());
        values.put(setting.get(), new Located<>(place, value));
      } catch (IllegalArgumentException e) {
        findings.add(place, e.getMessage());
      }
    }
    return values;
  }
}

// One line of a rule file. See docs/RULES.md for examples.
Line
  = _ @OrganisationLine
  / _ @RuleLine

OrganisationLine
  = "organisation" __ name:Label options:OrganisationOption+ _ comment:Comment
    { return {kind: "organisation", name, options, askedBy: comment.askedBy, reason: comment.reason}; }

OrganisationOption = __ @OrganisationOptionBody

OrganisationOptionBody
  = "key" __ value:Label { return {kind: "key", value, location: location()}; }
  / "priority" __ value:Count { return {kind: "priority", value, location: location()}; }
  / "rate" __ value:Rate { return {kind: "rate", value, location: location()}; }
  / "burst" __ value:Count { return {kind: "burst", value, location: location()}; }

Label "a name or a key, in quotes if it has spaces" = '"' @$([^"\n]+) '"' / $([A-Za-z0-9._~+/=:-]+)

Rate "a rate such as 20/s" = digits:$([0-9]+ ("." [0-9]+)?) "/s" { return Number(digits); }

RuleLine
  = methods:Methods __ host:Host path:Path headers:HeaderMatch* _ "->" _ split:Split options:Option* _ comment:Comment
    { return {kind: "rule", methods, host, path, headers, split, options, askedBy: comment.askedBy, reason: comment.reason}; }

Methods "methods such as GET or GET,HEAD, or ANY"
  = "ANY" !NameCharacter { return []; }
  / head:Method tail:("," @Method)* { return [head, ...tail]; }

Method = $([A-Z]+)

Host "a host name, or *"
  = "*" !NameCharacter { return "*"; }
  / $([a-z0-9] [a-z0-9.-]*)

Path "a path such as /lots/17, or /lots/** for everything below"
  = text:$("/" PathCharacter*) { return text; }

PathCharacter = [A-Za-z0-9._~!$&'()+,;=:@%/*-]

HeaderMatch
  = __ "header" __ name:HeaderName "=" value:HeaderValue { return {name: name.toLowerCase(), value, location: location()}; }

HeaderName "a header name" = $([A-Za-z0-9-]+)
HeaderValue "a header value" = '"' @$([^"\n]+) '"' / $([A-Za-z0-9._:/-]+)

Split
  = head:Share tail:(_ "," _ @Share)* { return [head, ...tail]; }

Share
  = service:ServiceName weight:(__ @Percent)? { return {service, weight, location: location()}; }

ServiceName "a service name such as lot-desk"
  = $([a-z] [a-z0-9-]*)

Percent "a share such as 90%"
  = digits:$([0-9]+) "%" { return Number(digits); }

Option = __ @OptionBody

OptionBody
  = "idempotent" !NameCharacter { return {kind: "idempotent", value: true, location: location()}; }
  / "once" !NameCharacter { return {kind: "idempotent", value: false, location: location()}; }
  / "public" !NameCharacter { return {kind: "public", value: true, location: location()}; }
  / "deadline" __ value:Duration { return {kind: "deadline", value, location: location()}; }
  / "slots" __ value:Count { return {kind: "slots", value, location: location()}; }
  / "prefer" __ value:Preference { return {kind: "prefer", value, location: location()}; }

Duration "a duration such as 800ms or 3s"
  = digits:$([0-9]+) "ms" { return Number(digits); }
  / digits:$([0-9]+) "s" { return Number(digits) * 1000; }

Count "a count" = digits:$([0-9]+) { return Number(digits); }

Preference "local, any, or the name of a data centre"
  = $([a-z] [a-z0-9-]*)

Comment "a comment that names who asked, such as # Ivanka Petrova: gate lookups"
  = "#" _ askedBy:$([^:\n]+) reason:(":" _ @$([^\n]*))? { return {askedBy: askedBy.trim(), reason: (reason ?? "").trim()}; }

NameCharacter = [A-Za-z0-9-]
_ "space" = [ \t]*
__ "space" = [ \t]+

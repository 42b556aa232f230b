// Proxies of controllers that share them: a grace that leaves time to notice one that stands still.
(import 'crowd.jsonnet') + { name: 'shared', rules+: { grace: '4s' } }
